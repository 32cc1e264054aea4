// Plans membership changes of the control group when the settings do not list its hosts. Discovered hosts join as
// learners; a learner is promoted when the group has too few voters, or to replace an unreachable voter.
// The leader calls it periodically and proposes each change through the log, one at a time. Does no I/O.
#pragma once

#include "pomelowind/base/Wire.h"

#include <optional>
#include <string>
#include <vector>

namespace pomelowind::members {

// The leader's view of one control host. The leader itself is in the list too.
struct HostStatus {
    std::string id;
    bool reachable { false }; // sent a message within ControlCore's VOTER_REPLACEMENT_TIMEOUT
    bool expired { false }; // sent no message within ControlCore's MEMBER_REMOVAL_TIMEOUT
    bool caughtUp { false }; // holds all committed entries
    bool recovering { false }; // must not vote until it is reinstated
    bool operator==(const HostStatus&) const = default;
};

// Returns the number of voters of a group that keeps a majority when `losses` voters fail.
constexpr size_t votersToTolerate(size_t losses) { return 2 * losses + 1; }

// Returns the membership to propose next, or nothing when no change is needed or possible. `self` is the leader, which
// is never demoted. Thread safety: pure.
std::optional<wire::Membership> planMembership(const wire::Membership& current, const std::vector<HostStatus>& hosts,
    const std::string& self, size_t desiredVoters);

} // namespace pomelowind::members
