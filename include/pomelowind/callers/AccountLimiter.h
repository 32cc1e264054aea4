// Limits of client accounts at the node that takes their calls, refused before any work is done.
#pragma once

#include "pomelowind/base/TokenBucket.h"
#include "pomelowind/base/Wire.h"

#include <map>
#include <string>

namespace pomelowind::callers {

// The limiter's answer for one call.
struct LimitVerdict {
    bool allowed { true };
    int64_t limit { 0 };
    int64_t remaining { 0 };
    base::Millis retryAfter { 0 };
};

// Thread safety: confined to the calls duty.
class AccountLimiter {
public:
    // Takes one call of `account`. The account's rate and burst hold at each node.
    LimitVerdict take(const wire::AccountResource& account, base::Instant now);

private:
    struct Limit {
        double ratePerSecond;
        double burst;
        base::TokenBucket bucket;
    };

    std::map<std::string, Limit> m_limits;
};

} // namespace pomelowind::callers
