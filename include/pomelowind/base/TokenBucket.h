// A token bucket with injected time, used for client account limits, admission and retry budgets.
#pragma once

#include "pomelowind/base/Time.h"

#include <algorithm>

namespace pomelowind::base {

// Refills at `rate` tokens per second up to `burst`. Thread safety: confined to one duty.
class TokenBucket {
public:
    // Precondition: rate >= 0, burst > 0. Starts full.
    TokenBucket(double ratePerSecond, double burst, Instant now)
        : m_rate(ratePerSecond)
        , m_burst(burst)
        , m_tokens(burst)
        , m_updated(now)
    {
    }

    // Takes `n` tokens if they are there.
    bool tryTake(Instant now, double n = 1)
    {
        refill(now);
        if (m_tokens < n)
            return false;
        m_tokens -= n;
        return true;
    }

    // Adds `n` tokens, up to the burst.
    void give(double n) { m_tokens = std::min(m_burst, m_tokens + n); }

    // Changes how many tokens can be saved up. Precondition: burst > 0.
    void setBurst(double burst)
    {
        m_burst = burst;
        m_tokens = std::min(m_tokens, burst);
    }

    // Whole tokens left at `now`.
    double available(Instant now)
    {
        refill(now);
        return m_tokens;
    }

    // Time until one token is there; zero when one is there already.
    Millis untilNext(Instant now)
    {
        refill(now);
        if (m_tokens >= 1)
            return Millis(0);
        if (m_rate <= 0)
            return std::chrono::hours(1);
        return Millis(static_cast<int64_t>((1 - m_tokens) * MILLIS_PER_SECOND / m_rate) + 1);
    }

private:
    static constexpr double MILLIS_PER_SECOND = 1000;

    void refill(Instant now)
    {
        if (now <= m_updated)
            return;
        std::chrono::duration<double> passed = now - m_updated;
        m_tokens = std::min(m_burst, m_tokens + passed.count() * m_rate);
        m_updated = now;
    }

    double m_rate;
    double m_burst;
    double m_tokens;
    Instant m_updated;
};

} // namespace pomelowind::base
