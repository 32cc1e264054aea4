#include "pomelowind/nodes/ParentChooser.h"

#include "pomelowind/base/Errors.h"
#include "pomelowind/nodes/RelayTree.h"

#include <algorithm>

namespace pomelowind::nodes {

namespace {

    constexpr auto FIRST_PENALTY = base::Millis(100);
    // Long enough to try other parents first; a shorter backoff would return to one that is still unresponsive.
    constexpr auto SILENT_PENALTY = base::Millis(3000);
    constexpr int MAX_DOUBLINGS = 3;

    std::optional<Parent> asParent(const wire::NodeInfo& node)
    {
        try {
            return Parent { node.node, base::parseAddress(node.meshAddress), false };
        } catch (const base::UserError&) {
            return std::nullopt;
        }
    }

}

ParentChooser::ParentChooser(std::string self, std::string dataCentre, std::vector<Parent> controlHosts, uint64_t seed)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_controlHosts(std::move(controlHosts))
    , m_random(seed)
{
}

std::vector<Parent> ParentChooser::candidates(const std::vector<wire::NodeInfo>& members) const
{
    std::vector<Parent> out;
    for (const auto& it : relayParents(m_self, m_dataCentre, members)) {
        if (auto parent = asParent(it))
            out.push_back(*parent);
    }
    out.insert(out.end(), m_controlHosts.begin(), m_controlHosts.end());
    return out;
}

std::optional<Parent> ParentChooser::choose(const std::vector<wire::NodeInfo>& members, base::Instant now)
{
    for (const auto& it : candidates(members)) {
        auto avoid = m_avoidUntil.find(it.id);
        if (avoid == m_avoidUntil.end() || now >= avoid->second)
            return it;
    }
    return std::nullopt;
}

std::optional<Parent> ParentChooser::chooseAny(const std::vector<wire::NodeInfo>& members, base::Instant now)
{
    auto best = choose(members, now);
    if (best)
        return best;
    base::Instant longest;
    for (const auto& it : candidates(members)) {
        auto silent = m_silentSince.find(it.id);
        if (silent == m_silentSince.end() || (best && silent->second >= longest))
            continue;
        best = it;
        longest = silent->second;
    }
    return best;
}

void ParentChooser::avoid(const std::string& parent, base::Millis least, base::Instant now)
{
    auto jitter = base::Millis(static_cast<int64_t>(m_random.below(static_cast<uint64_t>(least.count()) + 1)));
    m_avoidUntil[parent] = now + least + jitter;
}

void ParentChooser::failed(const std::string& parent, base::Instant now)
{
    m_silentSince.erase(parent);
    int doublings = std::min(m_failures[parent]++, MAX_DOUBLINGS);
    avoid(parent, FIRST_PENALTY * (1 << doublings), now);
}

void ParentChooser::fellSilent(const std::string& parent, base::Instant now)
{
    m_silentSince[parent] = now;
    avoid(parent, SILENT_PENALTY, now);
}

void ParentChooser::refused(const std::string& parent, base::Millis retryAfter, base::Instant now)
{
    m_silentSince.erase(parent);
    avoid(parent, retryAfter, now);
}

void ParentChooser::succeeded(const std::string& parent)
{
    m_failures.erase(parent);
    m_silentSince.erase(parent);
    m_avoidUntil.erase(parent);
}

} // namespace pomelowind::nodes
