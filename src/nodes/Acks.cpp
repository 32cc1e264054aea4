#include "pomelowind/nodes/Acks.h"

namespace pomelowind::nodes {

std::vector<wire::NodeAck> Acks::merge(const std::vector<wire::NodeAck>& acks, base::Instant now)
{
    std::vector<wire::NodeAck> news;
    for (const auto& it : acks) {
        auto& known = m_acks[it.node];
        known.at = now;
        bool isNew = known.ack.node.empty();
        bool newer = it.version > known.ack.version;
        bool rejects = it.version == known.ack.version && it.rejection != known.ack.rejection;
        if (!isNew && !newer && !rejects)
            continue;
        known.ack = it;
        news.push_back(it);
    }
    return news;
}

int64_t Acks::versionOf(const std::string& node) const
{
    auto it = m_acks.find(node);
    return it == m_acks.end() ? 0 : it->second.ack.version;
}

std::string Acks::rejectionOf(const std::string& node) const
{
    auto it = m_acks.find(node);
    return it == m_acks.end() ? std::string() : it->second.ack.rejection;
}

std::vector<wire::NodeAck> Acks::fresh(base::Instant now, base::Millis window) const
{
    std::vector<wire::NodeAck> out;
    for (const auto& [node, heard] : m_acks) {
        if (now - heard.at <= window)
            out.push_back(heard.ack);
    }
    return out;
}

bool Acks::isReachable(const std::string& node, base::Instant now, base::Millis window) const
{
    auto it = m_acks.find(node);
    return it != m_acks.end() && now - it->second.at <= window;
}

} // namespace pomelowind::nodes
