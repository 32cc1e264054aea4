#include "pomelowind/targets/Crossing.h"

namespace pomelowind::targets {

namespace {

    // Maximum ratio of the expected latency to the time left until the objective. Service times scatter; at this ratio
    // about nine in ten calls meet the objective.
    constexpr double MAX_LATENCY_TO_OBJECTIVE_RATIO = 0.7;

    bool isInTime(double ms, const CallProfile& call)
    {
        return !call.untilObjective
            || ms <= MAX_LATENCY_TO_OBJECTIVE_RATIO * static_cast<double>(call.untilObjective->count());
    }

}

bool isWorthCrossing(double localMs, double remoteMs, const CallProfile& call, const CrossingPrice& price)
{
    bool localInTime = isInTime(localMs, call);
    bool remoteInTime = isInTime(remoteMs, call);
    if (localInTime != remoteInTime)
        return remoteInTime;
    return remoteMs + price.equivalentWaitMs(call.bytes) < localMs;
}

} // namespace pomelowind::targets
