// Whether a call leaves its data centre. A decision without I/O.
//
// The load it answers is a data centre whose own targets are busy, slow or gone while others have room, on links that
// are shared and paid for: a call crosses when that serves its caller better by more than its bytes are worth. A large
// body stays as long as a target of its own data centre can still serve it in time.
#pragma once

#include "pomelowind/base/Time.h"

#include <cstddef>
#include <optional>

namespace pomelowind::targets {

// What is known of a call when it is placed.
struct CallSize {
    size_t bytes { 0 }; // body and expected response together
    std::optional<base::Millis> untilObjective; // nothing: any time before the deadline is as good
    bool operator==(const CallSize&) const = default;
};

// Bytes between data centres, in waiting that callers bear to save them.
struct CrossingPrice {
    double msPerKilobyte { 0 };
    // Milliseconds of waiting that are as dear as sending `bytes`. Thread safety: pure.
    double of(size_t bytes) const { return msPerKilobyte * static_cast<double>(bytes) / 1024; }
    bool operator==(const CrossingPrice&) const = default;
};

// True when a call that should end in `nearMs` at the best target of its own data centre, and in `farMs` at the best
// one elsewhere, is better sent there. Thread safety: pure.
bool isWorthCrossing(double nearMs, double farMs, const CallSize& size, const CrossingPrice& price);

} // namespace pomelowind::targets
