// What a target says about itself in its responses, which reaches its node sooner than its next announcement: that it
// accepts only so many calls, or that it leaves. The node beside the target reads it; answers pass it on to the nodes
// of callers.
#pragma once

#include <optional>
#include <string_view>

namespace pomelowind::targets {

struct TargetNotice {
    // Calls per second that it accepts from all callers together, 0 or more; empty: it names no limit.
    std::optional<double> maxCallsPerSecond;
    bool leaving { false }; // it will stop soon
    bool operator==(const TargetNotice&) const = default;
};

// Returns the notice of a response that states `maxCallsPerSecond` as a decimal number, or nothing when that is empty.
// Returns nothing if the number cannot be read, or if the response states nothing and `isSilenceCertain` is false: it
// may then have lost the statement, and the target's earlier notice stays valid. Thread safety: pure.
std::optional<TargetNotice> readNotice(std::string_view maxCallsPerSecond, bool leaving, bool isSilenceCertain);

} // namespace pomelowind::targets
