// The calls per second that a target says it accepts, as learned from its responses. The node beside the target keeps
// it, and its gate enforces it. Pure decision logic without I/O.
//
// Responses may arrive in another order than the target has sent them. A limit is therefore raised or lifted only by
// the response to a request that was sent after the limit was last confirmed; a lower one applies at once.
#pragma once

#include "pomelowind/base/Time.h"

#include <optional>

namespace pomelowind::targets {

// Thread safety: confined to the calls event loop.
class AcceptedRate {
public:
    // Applies what a response says; `callsPerSecond` is empty if it names no limit. `sentAt` is when its request was
    // sent, `now` when the response arrived. Returns true if the limit has changed.
    bool onResponse(std::optional<double> callsPerSecond, base::Instant sentAt, base::Instant now);
    // Applies the limit that another node has heard. It counts until the first response: a node that has just started
    // knows nothing of what its target said before. Returns true if the limit has changed.
    bool onHint(double callsPerSecond);
    // Returns the limit; empty if there is none.
    std::optional<double> callsPerSecond() const { return m_callsPerSecond; }

private:
    std::optional<double> m_callsPerSecond;
    bool m_hasResponse { false };
    base::Instant m_confirmedAt; // when a response last named the limit
};

} // namespace pomelowind::targets
