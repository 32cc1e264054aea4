// Decides the next change of the control group where no list of hosts is given: hosts that show up join as learners,
// become voters while voters are missing, and take the place of a voter that cannot be reached any more.
// One change at a time, each through the log. A decision class without I/O.
#pragma once

#include "pomelowind/base/Wire.h"

#include <optional>
#include <string>
#include <vector>

namespace pomelowind::members {

// What the leader knows of one control host, itself included.
struct HostStatus {
    std::string id;
    bool reachable { false }; // heard within REPLACE_AFTER
    bool forgotten { false }; // not heard within FORGET_AFTER
    bool caughtUp { false };
    bool recovering { false };
    bool operator==(const HostStatus&) const = default;
};

// Number of voters that still has a majority without any `losses` of them.
constexpr size_t votersFor(size_t losses) { return 2 * losses + 1; }

// The next membership, or nothing. `self` leads and is never removed. Thread safety: pure.
std::optional<wire::Membership> planMembership(const wire::Membership& present, const std::vector<HostStatus>& hosts,
    const std::string& self, size_t wantedVoters);

} // namespace pomelowind::members
