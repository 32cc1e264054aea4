// What a target says about itself in its responses: a back end in need asks for fewer calls there, long before its next
// heartbeat. Read by the node beside the target, and passed on to the nodes of callers.
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
