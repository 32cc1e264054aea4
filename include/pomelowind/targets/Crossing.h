// Decides whether a call is sent to another data centre ("crosses"). Used by the balancer once it knows the best local
// and the best remote target. Pure decision logic without I/O.
//
// Designed for data centres whose own targets are busy, slow or down while others have capacity, connected by shared
// links that are paid for by traffic: a call crosses if the time it saves is worth more than the bytes it transfers. A
// call with a large body stays local as long as a local target can still serve it in time.
#pragma once

#include "pomelowind/base/Time.h"

#include <cstddef>
#include <optional>

namespace pomelowind::targets {

// Properties of a call that decide whether it crosses.
struct CallProfile {
    size_t bytes { 0 }; // request body and expected response together
    std::optional<base::Millis> untilObjective; // empty: any time before the deadline is equally good
    bool operator==(const CallProfile&) const = default;
};

// Cost of traffic between data centres, as the waiting time that callers accept to avoid it.
struct CrossingPrice {
    double msPerKilobyte { 0 };
    // Returns the waiting time, in milliseconds, that costs as much as transferring `bytes`. Thread safety: pure.
    double equivalentWaitMs(size_t bytes) const { return msPerKilobyte * static_cast<double>(bytes) / 1024; }
    bool operator==(const CrossingPrice&) const = default;
};

// Returns true if a call should be sent to another data centre, given that it is expected to end in `localMs` at the
// best local target and in `remoteMs` at the best remote one. Thread safety: pure.
bool isWorthCrossing(double localMs, double remoteMs, const CallProfile& call, const CrossingPrice& price);

} // namespace pomelowind::targets
