// Decides when the set of claim holders changes. A key belongs to the epoch in which it was created, so claims never
// move between holders; a new epoch starts only after every promise made under the old one has ended.
#pragma once

#include "pomelowind/base/Time.h"
#include "pomelowind/config/ConfigState.h"
#include "pomelowind/nodes/Directory.h"

#include <optional>
#include <vector>

namespace pomelowind::control {

// Thread safety: confined to the decision duty.
class ClaimEpochPlanner {
public:
    // `lead` is the time from a proposal to the start of its epoch; promises are shorter than that.
    explicit ClaimEpochPlanner(base::Millis lead)
        : m_lead(lead)
    {
    }

    // The epoch to propose now, or nothing.
    std::optional<wire::ClaimEpoch> plan(
        const config::ConfigState& state, const std::vector<wire::NodeInfo>& nodes, base::Instant now, int64_t wallMs);
    // Time up to which nodes may use the epochs they know. Precondition: the caller leads with a lease.
    int64_t promiseThroughMs(int64_t wallMs) const;

private:
    base::Millis m_lead;
    std::vector<wire::ClaimHolder> m_seen;
    base::Instant m_seenSince;
};

} // namespace pomelowind::control
