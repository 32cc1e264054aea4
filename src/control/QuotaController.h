// The leader's part of the limits of client accounts: one token bucket with debt for each account, and the ratio of
// offered calls that nodes may admit. See docs/design/account-limits.md. It does no I/O.
#pragma once

#include "pomelowind/base/Time.h"
#include "pomelowind/base/Wire.h"
#include "pomelowind/callers/AccountQuota.h"

#include <array>
#include <optional>
#include <unordered_map>
#include <vector>

namespace pomelowind::control {

// What the controller knows of one account, for operators.
struct QuotaView {
    double level { 0 }; // calls left; negative: debt
    double offeredPerSecond { 0 };
    int32_t permille { 1000 };
};

// Confined to the decision thread.
class QuotaController {
public:
    explicit QuotaController(const callers::QuotaBounds& bounds);

    // Begins with empty buckets and the ratios that the previous leader has published last, which hold until usage has
    // been received for long enough.
    void start(const std::vector<wire::AccountRatio>& ratios, base::Instant now);
    // Replaces the limits. Accounts without a limit are not counted.
    void setLimits(const std::vector<wire::ClientAccount>& accounts);
    bool hasLimits() const { return !m_limits.empty(); }
    // Sets how many nodes are in contact, of those that may be running calls. The others use their equal parts.
    void setNodes(size_t inContact, size_t running);
    void addUsage(const std::vector<callers::AccountUse>& usage, base::Instant now);
    // Computes the ratios. Returns whether they have changed enough to be published before the next beacon. To be
    // called every 50 ms or so.
    bool update(base::Instant now);
    // Accounts near or beyond their limit; the whole list as it is to be published.
    const std::vector<wire::AccountRatio>& ratios() const { return m_published; }
    std::optional<QuotaView> view(const std::string& account, base::Instant now) const;

private:
    static constexpr size_t BINS = 64;
    struct Bin {
        float offered { 0 };
        float admitted { 0 };
        float ratio { 1 };
    };
    struct Limit {
        double rate { 0 };
        double burst { 0 };
    };
    struct Account {
        double level { 0 };
        base::Instant levelAt;
        int64_t bin { 0 }; // number of the latest bin
        std::array<Bin, BINS> bins;
        double ratio { 1 };
        int32_t permille { 1000 }; // as published
        bool isListed { false };
        bool hasNews { false }; // usage since the last update
        base::Instant listedUntil;
        base::Instant lastUsage;
    };

    int64_t binOf(base::Instant now) const { return base::toMillis(now.time_since_epoch()) / m_binMillis; }
    void advance(Account& account, const Limit& limit, base::Instant now) const;
    double sum(const Account& account, float Bin::*field, int64_t firstBack, int64_t lastBack) const;
    double rateOver(const Account& account, int64_t bins, base::Instant now) const;
    double certainRate(const Account& account, int64_t bins, base::Instant now) const;
    double peakRate(const Account& account) const;
    double computeRatio(Account& account, const Limit& limit, base::Instant now) const;
    Limit grantedPart(const Limit& limit) const { return { limit.rate * m_part, limit.burst * m_part }; }

    callers::QuotaBounds m_bounds;
    int64_t m_binMillis;
    double m_part { 1 }; // of each limit, for the nodes in contact
    std::unordered_map<int64_t, Limit> m_limits;
    std::unordered_map<int64_t, Account> m_accounts;
    std::vector<wire::AccountRatio> m_published;
    base::Instant m_startedAt;
};

} // namespace pomelowind::control
