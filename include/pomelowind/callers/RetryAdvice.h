// Computes the backoff that a node advises to a refused caller in its answer. Designed for overloaded services: callers
// that retry at the same moment, or before a slot is free, are refused again and have waited in vain.
#pragma once

#include "pomelowind/base/Random.h"
#include "pomelowind/base/Time.h"

namespace pomelowind::callers {

// Properties of a refused call.
struct Refusal {
    base::Millis untilSlot { 0 }; // time until the gates expect to admit the call
    base::Millis timeLeft { 0 }; // time left until the caller gives up
    base::Millis untilObjective { 0 }; // time left to meet the latency objective; negative if it was missed
    base::Millis serviceTime { 0 }; // expected service time
    bool operator==(const Refusal&) const = default;
};

// Callers wait for at most their remaining time divided by this, whatever the advice.
constexpr int MAX_BACKOFF_DIVISOR = 3;

// Returns the backoff. A caller that can still meet its latency objective retries as soon as a slot is expected to be
// free. One that cannot loses nothing by waiting, so these retries are spread over the time that their callers accept
// to wait.
base::Millis retryBackoff(const Refusal& refusal, base::Random& random);

// Returns the backoff for callers of a node that has run for `running` and has no configuration yet. Designed for the
// restart of a whole fleet: callers have few attempts, and a caller that uses them up before the node is ready is not
// served at all.
base::Millis startupBackoff(base::Millis running, base::Random& random);

} // namespace pomelowind::callers
