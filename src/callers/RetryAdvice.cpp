#include "pomelowind/callers/RetryAdvice.h"

#include <algorithm>

namespace pomelowind::callers {

namespace {

    // Early callers of one burst are spread by this part of the wait, so that they do not return together.
    constexpr double JITTER = 0.5;

    // A restarted group elects its leader and feeds its nodes within about this time.
    constexpr auto USUAL_START = base::Millis(400);
    // A start that takes longer waits for an election or a link that is down; both are tried about this often.
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
