#include "ClaimEpochPlanner.h"

namespace pomelowind::control {

namespace {

    // The set of nodes has to stay the same this long before it becomes an epoch.
    constexpr auto HOLDER_SETTLE_TIME = base::Millis(2000);
    // Validity that a beacon states, in percent of the lead time. The rest of it tolerates clock skew between hosts.
    constexpr int VALIDITY_PERCENT_OF_LEAD = 60;

    std::vector<wire::ClaimHolder> holdersOf(const std::vector<wire::NodeInfo>& nodes)
    {
        std::vector<wire::ClaimHolder> out;
        for (const auto& it : nodes) {
            wire::ClaimHolder holder;
            holder.node = it.node;
            holder.address = it.callAddress;
            holder.dataCentre = it.dataCentre;
            out.push_back(holder);
        }
        return out;
    }

}

std::optional<wire::ClaimEpoch> ClaimEpochPlanner::plan(
    const config::ConfigState& state, const std::vector<wire::NodeInfo>& nodes, base::Instant now, int64_t wallMs)
{
    auto holders = holdersOf(nodes);
    if (holders != m_lastHolders) {
        m_lastHolders = holders;
        m_lastHoldersSince = now;
    }
    const auto* ring = state.claimRing();
    bool isSettled = now - m_lastHoldersSince >= HOLDER_SETTLE_TIME;
    bool isUnchanged = ring && !ring->epochs.empty() && ring->epochs.back().holders == holders;
    bool isPending = ring && !ring->epochs.empty() && ring->epochs.back().fromMs > wallMs;
    if (holders.empty() || !isSettled || isUnchanged || isPending)
        return std::nullopt;
    wire::ClaimEpoch next;
    bool isFirst = !ring || ring->epochs.empty();
    next.epoch = isFirst ? 1 : ring->epochs.back().epoch + 1;
    next.fromMs = isFirst ? 0 : wallMs + m_leadTime.count(); // no claim can exist before the first epoch
    next.holders = holders;
    return next;
}

int64_t ClaimEpochPlanner::epochsValidThroughMs(int64_t wallMs) const
{
    return wallMs + m_leadTime.count() * VALIDITY_PERCENT_OF_LEAD / 100;
}

} // namespace pomelowind::control
