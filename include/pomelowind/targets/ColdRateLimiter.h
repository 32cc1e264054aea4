// Limits the calls that start at a cold target, exactly: in every span of one second, wherever it begins, no more calls
// start than the rate allows. A token bucket with a burst of its rate would admit up to twice the rate in such a span.
// Pure decision logic without I/O.
#pragma once

#include "pomelowind/base/Time.h"

#include <deque>

namespace pomelowind::targets {

// Thread safety: confined to the calls event loop.
class ColdRateLimiter {
public:
    // Precondition: `callsPerSecond` > 0. The fraction of a rate above 1 is dropped; a rate below 1 admits one call in
    // each span of 1 / rate seconds.
    explicit ColdRateLimiter(double callsPerSecond);
    // Changes the rate; calls that have started count against the new one.
    void setRate(double callsPerSecond);
    // Returns true if a call may start now.
    bool canStart(base::Instant now) const { return waitMs(1, now) <= 0; }
    // Counts a call that starts now, also one that starts while the target is not cold: the target may have become cold
    // before this process hears of it. Precondition: `now` never decreases.
    void onStarted(base::Instant now);
    // Returns the time until the `n`th further call may start if those before it start as soon as they may; `n` >= 1.
    double waitMs(int n, base::Instant now) const;

private:
    size_t m_calls { 1 }; // per window
    base::Instant::duration m_window {};
    std::deque<base::Instant> m_starts; // of the last m_calls calls, oldest first
};

} // namespace pomelowind::targets
