// Clocks. Decision classes take `now` as an argument; only the threads around them read a Clock.
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
    // Monotonic time; never goes back.
    virtual Instant now() const = 0;
    // Wall time in milliseconds since the Unix epoch; may be stepped by the platform.
    virtual int64_t wallMs() const = 0;
};

// The host's clocks. The monotonic one goes on while the host is suspended, so that no lease outlives a suspension.
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

inline int64_t toMillis(Instant::duration d) { return std::chrono::duration_cast<Millis>(d).count(); }

} // namespace pomelowind::base
