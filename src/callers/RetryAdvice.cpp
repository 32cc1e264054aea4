#include "pomelowind/callers/RetryAdvice.h"

#include <algorithm>

namespace pomelowind::callers {

namespace {

    // Maximum jitter, as a ratio of the backoff, so that the callers of one burst do not retry together.
    constexpr double JITTER = 0.5;

    // Time within which a restarted control plane usually elects a leader and publishes to its nodes.
    constexpr auto USUAL_START = base::Millis(400);
    // A longer start waits for an election or for a link that is down. Both are retried at about this interval.
    constexpr auto LATE_START_RETRY = base::Millis(250);

    base::Millis scaled(base::Millis time, double factor)
    {
        return base::Millis(static_cast<int64_t>(static_cast<double>(time.count()) * factor));
    }

}

base::Millis adviseRetry(const Refusal& refusal, base::Random& random)
{
    auto most = std::max(refusal.left / HEEDED_PART, base::Millis(1));
    auto soon = std::min(most, scaled(refusal.untilRoom, 1 + JITTER * random.unit()));
    bool stillInTime = soon + refusal.service <= refusal.untilObjective;
    if (stillInTime)
        return std::max(soon, base::Millis(1));
    return std::max(soon, scaled(most, 1 - JITTER * random.unit()));
}

base::Millis adviseWhileStarting(base::Millis running, base::Random& random)
{
    auto wait = std::max(USUAL_START - running, LATE_START_RETRY);
    return scaled(wait, 1 + JITTER * random.unit());
}

} // namespace pomelowind::callers
