#include "pomelowind/callers/RetryAdvice.h"

#include <algorithm>

namespace pomelowind::callers {

namespace {

    // Maximum jitter, as a ratio of the backoff, so that the callers of one burst do not retry together.
    constexpr double MAX_JITTER_RATIO = 0.5;

    // Time within which a restarted control plane usually elects a leader and publishes to its nodes.
    constexpr auto TYPICAL_STARTUP = base::Millis(400);
    // A longer start waits for an election or for a link that is down. Both are retried at about this interval.
    constexpr auto SLOW_STARTUP_RETRY = base::Millis(250);

    base::Millis scaled(base::Millis time, double factor)
    {
        return base::Millis(static_cast<int64_t>(static_cast<double>(time.count()) * factor));
    }

}

base::Millis retryBackoff(const Refusal& refusal, base::Random& random)
{
    auto maxBackoff = std::max(refusal.timeLeft / MAX_BACKOFF_DIVISOR, base::Millis(1));
    auto earliest = std::min(maxBackoff, scaled(refusal.untilSlot, 1 + MAX_JITTER_RATIO * random.uniformReal()));
    bool stillInTime = earliest + refusal.serviceTime <= refusal.untilObjective;
    if (stillInTime)
        return std::max(earliest, base::Millis(1));
    return std::max(earliest, scaled(maxBackoff, 1 - MAX_JITTER_RATIO * random.uniformReal()));
}

base::Millis startupBackoff(base::Millis running, base::Random& random)
{
    auto wait = std::max(TYPICAL_STARTUP - running, SLOW_STARTUP_RETRY);
    return scaled(wait, 1 + MAX_JITTER_RATIO * random.uniformReal());
}

} // namespace pomelowind::callers
