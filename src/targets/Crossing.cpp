#include "pomelowind/targets/Crossing.h"

namespace pomelowind::targets {

namespace {

    // Run times scatter; with the expected end at this part of the objective, about nine calls in ten are in time.
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
