// Exponential backoff with full jitter, for reconnects after a failure that hits many processes at once.
#pragma once

#include "pomelowind/base/Random.h"
#include "pomelowind/base/Time.h"

#include <algorithm>

namespace pomelowind::base {

// Thread safety: confined to one duty.
class Backoff {
public:
    // Precondition: 0 < first <= most.
    Backoff(Millis first, Millis most, uint64_t seed)
        : m_first(first)
        , m_most(most)
        , m_ceiling(first)
        , m_random(seed)
    {
    }

    // Time to wait before the next attempt: uniform in [first / 2, ceiling], and doubles the ceiling.
    Millis next()
    {
        auto low = m_first.count() / 2;
        auto span = std::max<int64_t>(1, m_ceiling.count() - low);
        auto delay = Millis(low + static_cast<int64_t>(m_random.below(static_cast<uint64_t>(span))));
        m_ceiling = std::min(m_most, m_ceiling * 2);
        return delay;
    }

    // To be called after a success.
    void reset() { m_ceiling = m_first; }

private:
    Millis m_first;
    Millis m_most;
    Millis m_ceiling;
    Random m_random;
};

} // namespace pomelowind::base
