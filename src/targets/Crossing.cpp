#include "pomelowind/targets/Crossing.h"

namespace pomelowind::targets {

namespace {

    // Maximum ratio of the expected duration to the time left until the objective. Service times scatter; at this ratio
    // about nine in ten calls meet the objective.
    constexpr double SAFE_PART = 0.7;

    bool isInTime(double ms, const CallSize& size)
    {
        return !size.untilObjective || ms <= SAFE_PART * static_cast<double>(size.untilObjective->count());
    }

}

bool isWorthCrossing(double nearMs, double farMs, const CallSize& size, const CrossingPrice& price)
{
    bool nearInTime = isInTime(nearMs, size);
    bool farInTime = isInTime(farMs, size);
    if (nearInTime != farInTime)
        return farInTime;
    return farMs + price.of(size.bytes) < nearMs;
}

} // namespace pomelowind::targets
