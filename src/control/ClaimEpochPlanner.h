// Decides when the set of claim holders changes: the nodes that store the records of requests with an idempotency key.
// A key belongs to the epoch in which it was created, so its claim never moves to another holder. Each beacon of the
// leader states up to when nodes may rely on the epochs they know. A new epoch starts only after every such time that
// was stated under the previous one has passed.
#pragma once

#include "pomelowind/base/Time.h"
#include "pomelowind/config/ConfigState.h"
#include "pomelowind/nodes/Directory.h"

#include <optional>
#include <vector>

namespace pomelowind::control {

// Plans claim epochs on the leader. Thread safety: confined to the decision thread.
class ClaimEpochPlanner {
public:
    // `leadTime` is the time from the proposal of an epoch to its start. The validity that a beacon states is a fixed
    // part of it, so that it ends before the new epoch starts even if the clocks of hosts differ.
    explicit ClaimEpochPlanner(base::Millis leadTime)
        : m_leadTime(leadTime)
    {
    }

    // Returns the epoch to propose now. Returns nothing when `nodes` is empty, changed too recently or equals the
    // holders of the last epoch, and while the last epoch has not started. To be called regularly, with the live nodes.
    std::optional<wire::ClaimEpoch> plan(
        const config::ConfigState& state, const std::vector<wire::NodeInfo>& nodes, base::Instant now, int64_t wallMs);
    // Returns the wall time up to which nodes may rely on the epochs they know, for a beacon sent now.
    // Precondition: this host is the leader and holds its lease.
    int64_t epochsValidThroughMs(int64_t wallMs) const;

private:
    base::Millis m_leadTime;
    std::vector<wire::ClaimHolder> m_lastHolders;
    base::Instant m_lastHoldersSince;
};

} // namespace pomelowind::control
