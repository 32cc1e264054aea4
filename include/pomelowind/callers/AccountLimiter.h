// Rate limiter for client accounts. The node that accepts a call applies it before doing any work for the call.
#pragma once

#include "pomelowind/base/TokenBucket.h"
#include "pomelowind/base/Wire.h"

#include <map>
#include <string>

namespace pomelowind::callers {

// Result of a rate limit check.
struct RateLimitResult {
    bool allowed { true };
    int64_t limit { 0 }; // burst of the account, in calls
    int64_t remaining { 0 }; // calls that are left of it
    base::Millis retryAfter { 0 }; // time until the next call is allowed
};

// Thread safety: confined to the calls event loop.
class AccountLimiter {
public:
    // Checks one call of `account` and counts it if it is allowed. The rate and burst of an account apply to each node
    // separately.
    RateLimitResult checkCall(const wire::AccountResource& account, base::Instant now);

private:
    struct Limit {
        double ratePerSecond;
        double burst;
        base::TokenBucket bucket;
    };

    std::map<std::string, Limit> m_limits;
};

} // namespace pomelowind::callers
