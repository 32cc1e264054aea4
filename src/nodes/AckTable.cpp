#include "pomelowind/nodes/AckTable.h"

namespace pomelowind::nodes {

std::vector<wire::NodeAck> AckTable::merge(const std::vector<wire::NodeAck>& acks, base::Instant now)
{
    std::vector<wire::NodeAck> changed;
    for (const auto& it : acks) {
        auto& known = m_acks[it.node];
        known.receivedAt = now;
        bool isNew = known.ack.node.empty();
        bool isNewer = it.version > known.ack.version;
        bool hasNewRejection = it.version == known.ack.version && it.rejection != known.ack.rejection;
        if (!isNew && !isNewer && !hasNewRejection)
            continue;
        known.ack = it;
        changed.push_back(it);
    }
    return changed;
}

int64_t AckTable::acknowledgedVersionOf(const std::string& node) const
{
    auto it = m_acks.find(node);
    return it == m_acks.end() ? 0 : it->second.ack.version;
}

std::string AckTable::rejectionOf(const std::string& node) const
{
    auto it = m_acks.find(node);
    return it == m_acks.end() ? std::string() : it->second.ack.rejection;
}

std::vector<wire::NodeAck> AckTable::recentAcks(base::Instant now, base::Millis window) const
{
    std::vector<wire::NodeAck> out;
    for (const auto& [node, entry] : m_acks) {
        if (now - entry.receivedAt <= window)
            out.push_back(entry.ack);
    }
    return out;
}

bool AckTable::isReachable(const std::string& node, base::Instant now, base::Millis window) const
{
    auto it = m_acks.find(node);
    return it != m_acks.end() && now - it->second.receivedAt <= window;
}

} // namespace pomelowind::nodes
