// How long a refused caller should wait before it comes back. The load it answers is a service that is full: callers
// who come back at the same moment, or before there is room, are refused again and have waited for nothing.
#pragma once

#include "pomelowind/base/Random.h"
#include "pomelowind/base/Time.h"

namespace pomelowind::callers {

// What is known about a refused call.
struct Refusal {
    base::Millis untilRoom { 0 }; // the gates' estimate of when a call of its rank may be taken
    base::Millis left { 0 }; // until the caller gives up
    base::Millis untilObjective { 0 }; // below 0 when the objective has passed
    base::Millis service { 0 }; // how long the call runs
    bool operator==(const Refusal&) const = default;
};

// Callers heed no more than this part of the time they have left.
constexpr int HEEDED_PART = 3;

// The time to wait. A caller that can still meet its objective comes back as soon as there should be room; one that
// cannot loses nothing by waiting, so those spread over the time they have.
base::Millis adviseRetry(const Refusal& refusal, base::Random& random);

// The time to wait for a node that has run for `running` and knows no configuration yet. The load it answers is a fleet
// that restarts: callers have few attempts, and those who use them up before the node is ready are not served at all.
base::Millis adviseWhileStarting(base::Millis running, base::Random& random);

} // namespace pomelowind::callers
