// A node's part of the limits of client accounts over all nodes. It counts calls for the leader's quota controller,
// admits the part of them that the controller allows, and falls back to an equal part of each limit when it has heard
// nothing from the leader. See docs/design/account-limits.md. It does no I/O.
#pragma once

#include "pomelowind/base/TokenBucket.h"
#include "pomelowind/base/Wire.h"
#include "pomelowind/callers/QuotaBounds.h"
#include "pomelowind/callers/UsageBatch.h"

#include <array>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pomelowind::callers {

// Number of an account in reports: 34 bits of the hash of its name, which take 5 bytes. Two of 10,000 accounts have the
// same one with a probability of 0.3%; they then share the stricter of their limits.
int64_t quotaId(const std::string& account);

// Why a call was refused, or None.
enum class QuotaRefusal { None, NodeLimit, Ratio, EqualPart };

// Returns the name of a refusal in logs, for example "ratio".
const char* quotaRefusalName(QuotaRefusal refusal);

struct QuotaDecision {
    QuotaRefusal refusal { QuotaRefusal::None };
    base::Millis retryAfter { 0 }; // time after which a retry is worthwhile
    double remaining { 0 }; // calls left in the node's own bucket
    int32_t permille { 1000 }; // ratio in force
    bool admitted() const { return refusal == QuotaRefusal::None; }
};

// Thread safety: confined to the calls event loop.
class AccountQuota {
public:
    explicit AccountQuota(const QuotaBounds& bounds);

    // Sets when the last word of the leader was received (unset: never), how many nodes share the limits, and the place
    // of this node among them, from 0. The place spreads the phases of the nodes, so that those that see few calls do
    // not admit or refuse them together.
    void setContact(base::Instant heardAt, size_t nodes, size_t place);
    // Replaces the ratios: those of accounts that are not listed end. An account listed with 1000 is near its limit.
    void replaceRatios(const std::vector<wire::AccountRatio>& ratios);
    // Decides on a call of `account`, and counts it. Always admits when the account has no limit.
    QuotaDecision admit(const wire::ClientAccount& account, base::Instant now);
    // Takes back the admission of a call that has ended as not run.
    void creditBack(const std::string& account, base::Instant now);
    // Returns the usage to report now, and counts from 0 again. To be called every REPORT_PERIOD. Accounts that are
    // near their limit, or get a burst of calls, are reported at once; the others later, the larger their limit.
    std::vector<AccountUse> takeUsage(base::Instant now);

    static constexpr base::Millis REPORT_PERIOD { 100 };
    // A node that has heard nothing from the leader for this long uses an equal part of each limit.
    static constexpr base::Millis CONTACT_TIMEOUT { 1500 };

private:
    // Equal part of a limit, used without contact. Parts below one call come at times that differ between nodes and
    // lapse, so that nodes without contact never hold more calls together than their part of the burst.
    struct EqualPart {
        base::Instant usedThrough; // slots up to this time are used
        base::Instant since;
        std::optional<base::TokenBucket> bucket; // for parts of a call or more
    };
    struct Account {
        Account(int64_t number, double ratePerSecond, double burstSize, base::Instant now)
            : id(number)
            , rate(ratePerSecond)
            , burst(burstSize)
            , bucket(ratePerSecond, burstSize, now)
        {
        }
        int64_t id; // quotaId() of the name
        double rate;
        double burst;
        base::TokenBucket bucket; // whole limit: bounds what this node alone admits
        int32_t permille { 1000 };
        bool isListed { false };
        double credit { 0 }; // a call is admitted when it reaches 1
        std::optional<EqualPart> equalPart;
        int32_t offered { 0 }; // since the last report
        int32_t refused { 0 };
        base::Instant firstUnreported;
        base::Instant lastCall;
        std::array<base::Instant, 3> recentCalls; // times of the last calls, oldest at `oldest`
        size_t oldest { 0 };
        bool hasBurst { false };
    };

    Account& accountOf(const wire::ClientAccount& account, base::Instant now);
    void count(Account& account, base::Instant now);
    double phaseOf(const std::string& account) const;
    bool takeEqualPart(const std::string& name, Account& account, base::Instant now, QuotaDecision& out);
    bool hasContact(base::Instant now) const;
    base::Millis reportDelay(const Account& account) const;
    static bool hasUsage(const Account& account) { return account.offered || account.refused; }

    QuotaBounds m_bounds;
    base::Instant m_heardAt;
    size_t m_nodes { 1 };
    size_t m_place { 0 };
    std::unordered_map<std::string, Account> m_accounts;
    std::unordered_map<int64_t, int32_t> m_ratios;
    base::Instant m_forgetDue;
    bool m_hasUsage { false };
};

} // namespace pomelowind::callers
