#include "pomelowind/callers/AccountQuota.h"

#include "pomelowind/base/Hash.h"

#include <algorithm>
#include <cmath>

namespace pomelowind::callers {

using base::Instant;
using base::Millis;

namespace {

    constexpr int32_t FULL_PERMILLE = 1000;
    constexpr double MILLIS_PER_SECOND = 1000;
    constexpr uint64_t QUOTA_ID_MASK = (uint64_t(1) << 34) - 1;
    // Four calls within this time at one node are reported at once. At the usual 3 calls per second of a large account
    // this costs a report every 4 s; at 7.5 times that rate it takes 150 ms.
    constexpr auto BURST_SPAN = Millis(300);
    // Part of the tolerance that nodes without contact may use. The rest covers the change between the two modes.
    constexpr double EQUAL_PART_RATIO = 0.9;
    // Longer than any bucket of the platform's limits takes to fill, and than the window.
    constexpr auto IDLE_RETENTION = Millis(60000);
    // Accounts whose limit is up to PROMPT_RATE for each node are reported soon: each node sees few of their calls, and
    // nothing tells it that they have become more. Larger ones may wait, since a burst of their calls is noticed at the
    // node.
    constexpr double PROMPT_RATE = 1.5;
    constexpr double DELAY_MS_PER_RATE = 400;
    constexpr auto MIN_REPORT_DELAY = Millis(100);
    constexpr auto MAX_REPORT_DELAY = Millis(2000);
    constexpr auto MIN_RETRY = Millis(250);

    double seconds(Instant::duration time) { return std::chrono::duration<double>(time).count(); }
    Instant::duration duration(double seconds)
    {
        return std::chrono::duration_cast<Instant::duration>(std::chrono::duration<double>(seconds));
    }

}

int64_t quotaId(const std::string& account) { return static_cast<int64_t>(base::hash64(account) & QUOTA_ID_MASK); }

const char* quotaRefusalName(QuotaRefusal refusal)
{
    switch (refusal) {
    case QuotaRefusal::NodeLimit:
        return "node_limit";
    case QuotaRefusal::Ratio:
        return "ratio";
    case QuotaRefusal::EqualPart:
        return "equal_part";
    default:
        return "none";
    }
}

AccountQuota::AccountQuota(const QuotaBounds& bounds)
    : m_bounds(bounds)
{
}

void AccountQuota::setContact(Instant heardAt, size_t nodes, size_t place)
{
    m_heardAt = heardAt;
    m_nodes = std::max<size_t>(1, nodes);
    m_place = place;
}

// Returns a number in [0, 1), spread evenly over the nodes, with another first node for each account.
double AccountQuota::phaseOf(const std::string& account) const
{
    double offset = static_cast<double>(base::hash64(account) >> 11) * 0x1.0p-53;
    double phase = offset + static_cast<double>(m_place) / static_cast<double>(m_nodes);
    return phase - std::floor(phase);
}

bool AccountQuota::hasContact(Instant now) const { return m_heardAt != Instant() && now - m_heardAt < CONTACT_TIMEOUT; }

void AccountQuota::replaceRatios(const std::vector<wire::AccountRatio>& ratios)
{
    if (ratios.empty() && m_ratios.empty())
        return;
    m_ratios.clear();
    for (const auto& it : ratios)
        m_ratios[it.account] = std::clamp(it.permille, 0, FULL_PERMILLE);
    for (auto& [name, account] : m_accounts) {
        auto known = m_ratios.find(account.id);
        account.isListed = known != m_ratios.end();
        account.permille = account.isListed ? known->second : FULL_PERMILLE;
    }
}

AccountQuota::Account& AccountQuota::accountOf(const wire::ClientAccount& account, Instant now)
{
    double burst = std::max(1.0, account.burst);
    auto it = m_accounts.find(account.name);
    if (it == m_accounts.end()) {
        it = m_accounts.emplace(account.name, Account(quotaId(account.name), account.ratePerSecond, burst, now)).first;
        it->second.credit = phaseOf(account.name);
        auto ratio = m_ratios.find(it->second.id);
        it->second.isListed = ratio != m_ratios.end();
        it->second.permille = it->second.isListed ? ratio->second : FULL_PERMILLE;
    }
    auto& out = it->second;
    if (out.rate != account.ratePerSecond || out.burst != burst) {
        // A changed limit grants no second burst.
        out.bucket.setRate(account.ratePerSecond, now);
        out.bucket.setBurst(burst);
        out.rate = account.ratePerSecond;
        out.burst = burst;
        out.equalPart.reset();
    }
    return out;
}

void AccountQuota::count(Account& account, Instant now)
{
    m_hasUsage = true;
    if (!hasUsage(account))
        account.firstUnreported = now;
    ++account.offered;
    auto& oldest = account.recentCalls[account.oldest];
    if (oldest != Instant() && now - oldest < BURST_SPAN)
        account.hasBurst = true;
    oldest = now;
    account.oldest = (account.oldest + 1) % account.recentCalls.size();
    account.lastCall = now;
}

QuotaDecision AccountQuota::admit(const wire::ClientAccount& account, Instant now)
{
    QuotaDecision out;
    if (account.ratePerSecond <= 0)
        return out;
    auto& entry = accountOf(account, now);
    count(entry, now);
    out.permille = entry.permille;
    out.remaining = entry.bucket.availableTokens(now);
    if (hasContact(now)) {
        entry.equalPart.reset();
        if (entry.permille < FULL_PERMILLE) {
            entry.credit = std::min(entry.credit + entry.permille / static_cast<double>(FULL_PERMILLE), 2.0);
            if (entry.credit < 1)
                out.refusal = QuotaRefusal::Ratio;
        }
    } else if (!takeEqualPart(account.name, entry, now, out)) {
        out.refusal = QuotaRefusal::EqualPart;
    }
    if (out.admitted() && !entry.bucket.tryTake(now)) {
        out.refusal = QuotaRefusal::NodeLimit;
        out.retryAfter = entry.bucket.timeUntilNextToken(now);
    }
    if (out.admitted()) {
        if (hasContact(now) && entry.permille < FULL_PERMILLE)
            entry.credit -= 1;
        return out;
    }
    ++entry.refused;
    if (out.refusal == QuotaRefusal::Ratio) {
        // The lower the ratio, the further the demand is above the limit, and the fewer retries it can take.
        auto wait = MIN_RETRY * FULL_PERMILLE / std::max(1, entry.permille);
        out.retryAfter = std::min<Millis>(wait, m_bounds.window);
    }
    // Contact may come back sooner than the next call of a small part is due.
    if (out.refusal == QuotaRefusal::EqualPart)
        out.retryAfter = std::min<Millis>(out.retryAfter, m_bounds.window);
    out.retryAfter = std::max(out.retryAfter, MIN_RETRY);
    return out;
}

bool AccountQuota::takeEqualPart(const std::string& name, Account& account, Instant now, QuotaDecision& out)
{
    double part = account.rate / static_cast<double>(m_nodes);
    double held = EQUAL_PART_RATIO * (account.burst + m_bounds.tolerance(account.rate, account.burst))
        / static_cast<double>(m_nodes);
    if (!account.equalPart) {
        account.equalPart.emplace();
        account.equalPart->since = now;
        account.equalPart->usedThrough = now;
        // An account at its limit has used its burst, and a node that has just started does not know whether it is.
        bool mayBeSpent = account.permille < FULL_PERMILLE || m_heardAt == Instant();
        if (held >= 1) {
            account.equalPart->bucket.emplace(part, held, now);
            account.equalPart->bucket->tryTake(now, mayBeSpent ? held : held / 2);
        } else if (!mayBeSpent) {
            account.equalPart->usedThrough = Instant();
        }
    }
    auto& equal = *account.equalPart;
    if (equal.bucket) {
        equal.bucket->setRate(part, now);
        if (equal.bucket->tryTake(now))
            return true;
        out.retryAfter = equal.bucket->timeUntilNextToken(now);
        return false;
    }
    // Slots come every `period`, and each stays usable for a part of it.
    double period = 1 / part;
    double time = seconds(now.time_since_epoch());
    double phase = phaseOf(name);
    double slot = (std::floor(time / period - phase) + phase) * period;
    auto slotAt = Instant(duration(slot));
    bool isUsable = time - slot <= std::min(1.0, held) * period && slotAt > equal.usedThrough;
    if (isUsable) {
        equal.usedThrough = slotAt;
        return true;
    }
    out.retryAfter = Millis(static_cast<int64_t>(std::min(slot + period - time, 3600.0) * MILLIS_PER_SECOND) + 1);
    return false;
}

void AccountQuota::creditBack(const std::string& account, Instant now)
{
    auto it = m_accounts.find(account);
    if (it == m_accounts.end())
        return;
    auto& entry = it->second;
    entry.bucket.addTokens(1);
    if (entry.permille < FULL_PERMILLE)
        entry.credit = std::min(entry.credit + 1, 2.0);
    if (entry.equalPart && entry.equalPart->bucket)
        entry.equalPart->bucket->addTokens(1);
    if (!hasUsage(entry))
        entry.firstUnreported = now;
    // Reported as one more refusal: offered less refused is what was admitted.
    ++entry.refused;
    m_hasUsage = true;
}

Millis AccountQuota::reportDelay(const Account& account) const
{
    if (account.isListed || account.hasBurst)
        return Millis(0);
    double extra = std::max(0.0, account.rate / static_cast<double>(m_nodes) - PROMPT_RATE) * DELAY_MS_PER_RATE;
    return std::min(MIN_REPORT_DELAY + Millis(std::lround(std::min(extra, 1e6))), MAX_REPORT_DELAY);
}

std::vector<AccountUse> AccountQuota::takeUsage(Instant now)
{
    std::vector<AccountUse> out;
    if (!m_hasUsage)
        return out;
    bool anyDue = false;
    for (const auto& [name, account] : m_accounts)
        anyDue = anyDue || (hasUsage(account) && now - account.firstUnreported >= reportDelay(account));
    if (!anyDue)
        return out;
    m_hasUsage = false;
    for (auto& [name, account] : m_accounts) {
        if (!hasUsage(account))
            continue;
        // A report that is sent anyway also carries what would be due soon.
        if (now - account.firstUnreported < reportDelay(account) / 2) {
            m_hasUsage = true;
            continue;
        }
        auto span = std::min(now - account.firstUnreported, Instant::duration(MAX_REPORT_DELAY)) / REPORT_PERIOD;
        out.push_back({ account.id, account.offered, account.refused, static_cast<int32_t>(span) + 1 });
        account.offered = account.refused = 0;
        account.hasBurst = false;
    }
    if (now >= m_forgetDue) {
        m_forgetDue = now + IDLE_RETENTION;
        std::erase_if(m_accounts, [now](const auto& it) { return now - it.second.lastCall > IDLE_RETENTION; });
    }
    return out;
}

} // namespace pomelowind::callers
