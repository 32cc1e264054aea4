// Exponential backoff with jitter. Links use it between connection attempts, so that processes that lost their peers at
// the same time do not all reconnect at the same time.
#pragma once

#include "pomelowind/base/Random.h"
#include "pomelowind/base/Time.h"

#include <algorithm>

namespace pomelowind::base {

// Computes the delay before each attempt. Thread safety: confined to one event loop thread.
class Backoff {
public:
    // The ceiling of the delays starts at `initial` and never exceeds `maximum`. Precondition: 0 < initial <= maximum.
    Backoff(Millis initial, Millis maximum, uint64_t seed)
        : m_initial(initial)
        , m_maximum(maximum)
        , m_ceiling(initial)
        , m_random(seed)
    {
    }

    // Returns the delay before the next attempt, uniform in [initial / 2, ceiling), and doubles the ceiling up to its
    // maximum.
    Millis next()
    {
        auto low = m_initial.count() / 2;
        auto span = std::max<int64_t>(1, m_ceiling.count() - low);
        auto delay = Millis(low + static_cast<int64_t>(m_random.uniformBelow(static_cast<uint64_t>(span))));
        m_ceiling = std::min(m_maximum, m_ceiling * 2);
        return delay;
    }

    // Sets the ceiling back to its initial value. Call it after a successful attempt.
    void reset() { m_ceiling = m_initial; }

private:
    Millis m_initial;
    Millis m_maximum;
    Millis m_ceiling;
    Random m_random;
};

} // namespace pomelowind::base
