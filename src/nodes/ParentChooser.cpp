#include "pomelowind/nodes/ParentChooser.h"

#include "pomelowind/nodes/FanOutTree.h"
#include "pomelowind/nodes/PeerAddress.h"

#include <algorithm>

namespace pomelowind::nodes {

namespace {

    constexpr auto INITIAL_BACKOFF = base::Millis(100);
    // Long enough to try other parents first; a shorter backoff would return to one that is still unresponsive.
    constexpr auto UNRESPONSIVE_BACKOFF = base::Millis(3000);
    constexpr int MAX_BACKOFF_DOUBLINGS = 3;

    std::optional<Parent> toParent(const wire::NodeInfo& node)
    {
        auto address = peerAddress(node.meshAddress);
        return address ? std::optional(Parent { node.node, *address, false }) : std::nullopt;
    }

}

ParentChooser::ParentChooser(std::string self, std::string dataCentre, std::vector<Parent> controlHosts, uint64_t seed)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_controlHosts(std::move(controlHosts))
    , m_random(seed)
{
}

std::vector<Parent> ParentChooser::parentsByPreference(const std::vector<wire::NodeInfo>& members) const
{
    std::vector<Parent> out;
    for (const auto& it : relayAncestors(m_self, m_dataCentre, members)) {
        if (auto parent = toParent(it))
            out.push_back(*parent);
    }
    out.insert(out.end(), m_controlHosts.begin(), m_controlHosts.end());
    return out;
}

std::optional<Parent> ParentChooser::choose(const std::vector<wire::NodeInfo>& members, base::Instant now)
{
    for (const auto& it : parentsByPreference(members)) {
        auto backoff = m_backoffUntil.find(it.id);
        if (backoff == m_backoffUntil.end() || now >= backoff->second)
            return it;
    }
    return std::nullopt;
}

std::optional<Parent> ParentChooser::chooseOrFallBack(const std::vector<wire::NodeInfo>& members, base::Instant now)
{
    auto best = choose(members, now);
    if (best)
        return best;
    base::Instant earliest;
    for (const auto& it : parentsByPreference(members)) {
        auto unresponsive = m_unresponsiveSince.find(it.id);
        if (unresponsive == m_unresponsiveSince.end() || (best && unresponsive->second >= earliest))
            continue;
        best = it;
        earliest = unresponsive->second;
    }
    return best;
}

void ParentChooser::backOff(const std::string& parent, base::Millis minBackoff, base::Instant now)
{
    auto jitter
        = base::Millis(static_cast<int64_t>(m_random.uniformBelow(static_cast<uint64_t>(minBackoff.count()) + 1)));
    m_backoffUntil[parent] = now + minBackoff + jitter;
}

void ParentChooser::failed(const std::string& parent, base::Instant now)
{
    m_unresponsiveSince.erase(parent);
    int doublings = std::min(m_failures[parent]++, MAX_BACKOFF_DOUBLINGS);
    backOff(parent, INITIAL_BACKOFF * (1 << doublings), now);
}

void ParentChooser::onParentTimedOut(const std::string& parent, base::Instant now)
{
    m_unresponsiveSince[parent] = now;
    backOff(parent, UNRESPONSIVE_BACKOFF, now);
}

void ParentChooser::refused(const std::string& parent, base::Millis retryAfter, base::Instant now)
{
    m_unresponsiveSince.erase(parent);
    backOff(parent, retryAfter, now);
}

void ParentChooser::succeeded(const std::string& parent)
{
    m_failures.erase(parent);
    m_unresponsiveSince.erase(parent);
    m_backoffUntil.erase(parent);
}

} // namespace pomelowind::nodes
