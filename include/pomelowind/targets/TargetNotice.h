// What a target says about itself in its responses, which reaches its node sooner than its next announcement: that it
// accepts only so many calls, or that it leaves. The node beside the target reads it; answers pass it on to the nodes
// of callers.
#pragma once

#include <optional>

namespace pomelowind::targets {

struct TargetNotice {
    // Calls per second that it accepts from all callers together, 0 or more; empty: it names no limit.
    std::optional<double> maxCallsPerSecond;
    bool leaving { false }; // it will stop soon
    bool operator==(const TargetNotice&) const = default;
};

} // namespace pomelowind::targets
