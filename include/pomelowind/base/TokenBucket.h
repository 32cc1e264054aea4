// A token bucket rate limiter, used for client account limits, admission control, retry budgets and rate-limited
// logging. The current time is an argument.
#pragma once

#include "pomelowind/base/Time.h"

#include <algorithm>

namespace pomelowind::base {

// Refills at a constant rate up to the burst size. Thread safety: confined to one event loop thread.
class TokenBucket {
public:
    // Starts full, with `burst` tokens. Precondition: ratePerSecond >= 0, burst > 0.
    TokenBucket(double ratePerSecond, double burst, Instant now)
        : m_ratePerSecond(ratePerSecond)
        , m_burst(burst)
        , m_tokens(burst)
        , m_lastRefill(now)
    {
    }

    // Takes `n` tokens. Returns false and takes none when fewer are available.
    bool tryTake(Instant now, double n = 1)
    {
        refill(now);
        if (m_tokens < n)
            return false;
        m_tokens -= n;
        return true;
    }

    // Adds `n` tokens, up to the burst size.
    void addTokens(double n) { m_tokens = std::min(m_burst, m_tokens + n); }

    // Changes the rate from `now` on. Precondition: ratePerSecond >= 0.
    void setRate(double ratePerSecond, Instant now)
    {
        refill(now);
        m_ratePerSecond = ratePerSecond;
    }

    // Changes the burst size and drops tokens above it. Precondition: burst > 0.
    void setBurst(double burst)
    {
        m_burst = burst;
        m_tokens = std::min(m_tokens, burst);
    }

    // Returns the tokens available at `now`, fractions included.
    double availableTokens(Instant now)
    {
        refill(now);
        return m_tokens;
    }

    // Returns the time until one whole token is available, or zero when one is. With a rate of zero, which never
    // refills the bucket, returns one hour.
    Millis timeUntilNextToken(Instant now)
    {
        refill(now);
        if (m_tokens >= 1)
            return Millis(0);
        if (m_ratePerSecond <= 0)
            return std::chrono::hours(1);
        return Millis(static_cast<int64_t>((1 - m_tokens) * MILLIS_PER_SECOND / m_ratePerSecond) + 1);
    }

private:
    static constexpr double MILLIS_PER_SECOND = 1000;

    void refill(Instant now)
    {
        if (now <= m_lastRefill)
            return;
        std::chrono::duration<double> elapsed = now - m_lastRefill;
        m_tokens = std::min(m_burst, m_tokens + elapsed.count() * m_ratePerSecond);
        m_lastRefill = now;
    }

    double m_ratePerSecond;
    double m_burst;
    double m_tokens;
    Instant m_lastRefill;
};

} // namespace pomelowind::base
