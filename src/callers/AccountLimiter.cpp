#include "pomelowind/callers/AccountLimiter.h"

#include <algorithm>

namespace pomelowind::callers {

RateLimitResult AccountLimiter::checkCall(const wire::AccountResource& account, base::Instant now)
{
    double rate = account.ratePerSecond;
    double burst = std::max(1.0, account.burst);
    auto it = m_limits.find(account.name);
    bool isChanged = it != m_limits.end() && (it->second.ratePerSecond != rate || it->second.burst != burst);
    if (it == m_limits.end() || isChanged) {
        // A changed limit keeps the remaining tokens, so that a configuration change does not grant a second burst.
        double tokensLeft = isChanged ? it->second.bucket.availableTokens(now) : burst;
        Limit limit { rate, burst, base::TokenBucket(rate, burst, now) };
        limit.bucket.tryTake(now, std::max(0.0, burst - tokensLeft));
        it = m_limits.insert_or_assign(account.name, limit).first;
    }
    RateLimitResult out;
    out.allowed = it->second.bucket.tryTake(now);
    out.limit = static_cast<int64_t>(burst);
    out.remaining = static_cast<int64_t>(it->second.bucket.availableTokens(now));
    out.retryAfter = it->second.bucket.timeUntilNextToken(now);
    return out;
}

} // namespace pomelowind::callers
