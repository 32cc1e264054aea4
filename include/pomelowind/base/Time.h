// Time types and clocks. Classes with decision logic take the current time as an argument, which makes them
// deterministic in tests; only the code that runs them on an event loop thread reads a Clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace pomelowind::base {

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;
using Instant = std::chrono::steady_clock::time_point;

// Source of time. Thread safety: all methods may be called from any thread.
class Clock {
public:
    virtual ~Clock() = default;
    // Returns monotonic time, which never goes backwards.
    virtual Instant now() const = 0;
    // Returns wall-clock time in milliseconds since the Unix epoch. The operating system may step it in either
    // direction.
    virtual int64_t wallMs() const = 0;
};

// The clocks of the host. The monotonic clock (CLOCK_BOOTTIME) also advances while the host is suspended, so that
// leases expire during a suspension too.
class SystemClock final : public Clock {
public:
    Instant now() const override
    {
        timespec ts {};
        clock_gettime(CLOCK_BOOTTIME, &ts);
        return Instant(std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec));
    }
    int64_t wallMs() const override
    {
        using namespace std::chrono;
        return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
    }
};

// Converts to whole milliseconds, rounding towards zero.
inline int64_t toMillis(Instant::duration d) { return std::chrono::duration_cast<Millis>(d).count(); }

} // namespace pomelowind::base
