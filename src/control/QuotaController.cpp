#include "QuotaController.h"

#include <algorithm>
#include <cmath>

namespace pomelowind::control {

using base::Instant;
using base::Millis;

namespace {

    constexpr int32_t FULL_PERMILLE = 1000;
    // Bins of usage in a window. With those of the delay they have to fit into the ring.
    constexpr int64_t BINS_PER_WINDOW = 50;
    // From a call to the moment at which a ratio that accounts for it applies to the calls that follow: report period,
    // node to control host, batch, control host to leader, and back, at 100 ms for each link.
    constexpr double FEEDBACK_SECONDS = 0.5;
    // Part of it from the call to the leader.
    constexpr double REPORT_SECONDS = 0.3;
    // Part of the tolerance that the controller uses in steady operation; see the design note.
    constexpr double USED_TOLERANCE = 0.1;
    // The controller brings the bucket to its target level within about this time. Much less than twice the feedback
    // delay oscillates.
    constexpr double RECOVERY_SECONDS = 0.7;
    // Part of the bound that calls may reach if the account returns to its highest demand of the last window.
    constexpr double PEAK_BOUND_RATIO = 0.85;
    constexpr int64_t SPAN_UNIT_MS = 100; // of AccountUse::span
    constexpr int64_t SHORT_BINS = 3; // for a fast reaction
    constexpr double CERTAIN_DEVIATIONS = 1.2; // standard deviations by which the calls in them may be too many
    constexpr int64_t LONG_BINS = 12; // keeps the ratio through the pauses of callers that send in bursts
    constexpr int64_t PEAK_BINS = 4;
    // An account is listed, and reported at once by nodes, while it uses more than this part of its rate.
    constexpr double LISTED_USE_RATIO = 0.8;
    constexpr auto LISTED_HOLD = Millis(1000);
    // Ratios above it come from the randomness of few calls, and cost more messages than the calls they refuse.
    constexpr double NEGLIGIBLE_RATIO = 0.95;
    // Changes below these wait for the next beacon.
    constexpr double MIN_RELATIVE_CHANGE = 0.1;
    constexpr int32_t MIN_PERMILLE_CHANGE = 15;
    // A new leader has usage of all nodes after this time.
    constexpr auto LEARNING_TIME = Millis(800);
    constexpr auto IDLE_RETENTION = Millis(20000);

    double seconds(Instant::duration time) { return std::chrono::duration<double>(time).count(); }

}

QuotaController::QuotaController(const callers::QuotaBounds& bounds)
    : m_bounds(bounds)
    , m_binMillis(std::max<int64_t>(1, bounds.window.count() / BINS_PER_WINDOW))
{
}

void QuotaController::start(const std::vector<wire::AccountRatio>& ratios, Instant now)
{
    m_startedAt = now;
    m_accounts.clear();
    m_published = ratios;
    for (const auto& it : ratios) {
        auto& account = m_accounts[it.account];
        account.levelAt = account.lastUsage = now;
        account.bin = binOf(now);
        account.permille = it.permille;
        account.ratio = it.permille / static_cast<double>(FULL_PERMILLE);
        for (auto& bin : account.bins)
            bin.ratio = static_cast<float>(account.ratio);
        account.isListed = true;
        account.listedUntil = now + LISTED_HOLD;
    }
}

void QuotaController::setLimits(const std::vector<wire::ClientAccount>& accounts)
{
    m_limits.clear();
    for (const auto& it : accounts) {
        if (it.ratePerSecond <= 0)
            continue;
        auto& limit = m_limits[callers::quotaId(it.name)];
        bool isNew = limit.rate <= 0;
        double burst = std::max(1.0, it.burst);
        limit.rate = isNew ? it.ratePerSecond : std::min(limit.rate, it.ratePerSecond);
        limit.burst = isNew ? burst : std::min(limit.burst, burst);
    }
    std::erase_if(m_accounts, [this](const auto& it) { return !m_limits.count(it.first); });
}

void QuotaController::setNodes(size_t inContact, size_t running)
{
    m_part = running && inContact < running ? static_cast<double>(inContact) / static_cast<double>(running) : 1;
}

// Refills the bucket and begins new bins.
void QuotaController::advance(Account& account, const Limit& limit, Instant now) const
{
    int64_t current = binOf(now);
    if (current - account.bin >= static_cast<int64_t>(BINS)) {
        for (auto& bin : account.bins)
            bin = { 0, 0, static_cast<float>(account.ratio) };
        account.bin = current;
    }
    while (account.bin < current) {
        ++account.bin;
        account.bins[static_cast<size_t>(account.bin) % BINS] = { 0, 0, static_cast<float>(account.ratio) };
    }
    if (now > account.levelAt) {
        account.level = std::min(limit.burst, account.level + limit.rate * seconds(now - account.levelAt));
        account.levelAt = now;
    }
    account.level = std::min(account.level, limit.burst);
}

void QuotaController::addUsage(const std::vector<callers::AccountUse>& usage, Instant now)
{
    for (const auto& it : usage) {
        auto found = m_limits.find(it.account);
        if (found == m_limits.end())
            continue;
        auto limit = grantedPart(found->second);
        auto [entry, isNew] = m_accounts.try_emplace(it.account);
        auto& account = entry->second;
        if (isNew) {
            account.levelAt = now;
            account.bin = binOf(now);
            // The previous leader may have granted the burst shortly before this one has started.
            account.level = std::min(limit.burst, limit.rate * std::max(0.0, seconds(now - m_startedAt)));
        }
        advance(account, limit, now);
        account.lastUsage = now;
        account.hasNews = true;
        double offered = it.offered;
        double admitted = offered - it.refused;
        account.level -= admitted;
        int64_t bins = std::clamp<int64_t>(it.span * SPAN_UNIT_MS / m_binMillis, 1, BINS_PER_WINDOW);
        for (int64_t back = 0; back < bins; ++back) {
            auto& bin = account.bins[static_cast<size_t>(account.bin - back) % BINS];
            bin.offered += static_cast<float>(offered / static_cast<double>(bins));
            bin.admitted += static_cast<float>(admitted / static_cast<double>(bins));
        }
    }
}

// Sums the bins from `firstBack` to `lastBack` before the latest one.
double QuotaController::sum(const Account& account, float Bin::*field, int64_t firstBack, int64_t lastBack) const
{
    double out = 0;
    for (int64_t back = firstBack; back <= lastBack; ++back)
        out += static_cast<double>(account.bins[static_cast<size_t>(account.bin - back) % BINS].*field);
    return out;
}

double QuotaController::rateOver(const Account& account, int64_t bins, Instant now) const
{
    double width = static_cast<double>(m_binMillis) / 1000;
    double inCurrent = static_cast<double>(base::toMillis(now.time_since_epoch()) - account.bin * m_binMillis) / 1000;
    return sum(account, &Bin::offered, 0, bins) / (static_cast<double>(bins) * width + inCurrent);
}

// Returns a rate that the calls of the last bins show with some certainty: few calls are no sign of a high rate.
double QuotaController::certainRate(const Account& account, int64_t bins, Instant now) const
{
    double rate = rateOver(account, bins, now);
    double calls = sum(account, &Bin::offered, 0, bins);
    return calls > 0 ? rate * std::max(0.0, 1 - CERTAIN_DEVIATIONS / std::sqrt(calls)) : 0;
}

double QuotaController::peakRate(const Account& account) const
{
    double width = static_cast<double>(m_binMillis) / 1000;
    double peak = 0;
    for (int64_t back = 1; back + PEAK_BINS <= BINS_PER_WINDOW; ++back)
        peak = std::max(peak, sum(account, &Bin::offered, back, back + PEAK_BINS - 1));
    return peak / (static_cast<double>(PEAK_BINS) * width);
}

double QuotaController::computeRatio(Account& account, const Limit& limit, Instant now) const
{
    double rate = rateOver(account, LONG_BINS, now);
    for (int64_t bins = 1; bins <= SHORT_BINS; ++bins)
        rate = std::max(rate, certainRate(account, bins, now));
    if (rate <= 0)
        return 1;
    double width = static_cast<double>(m_binMillis) / 1000;
    auto feedbackBins = static_cast<int64_t>(std::lround(FEEDBACK_SECONDS / width));
    double recentRatio = sum(account, &Bin::ratio, 0, feedbackBins - 1) / static_cast<double>(feedbackBins);
    // Calls that nodes admit before a new ratio applies: under the ratios that have been published in that time.
    double unheard = rate * recentRatio * FEEDBACK_SECONDS;
    double level = std::min(limit.burst, account.level + limit.rate * FEEDBACK_SECONDS - unheard);
    double tolerance = m_bounds.tolerance(limit.rate, limit.burst);
    double ratio = (limit.rate + (level + USED_TOLERANCE * tolerance) / RECOVERY_SECONDS) / rate;
    // Should the demand return to its highest rate, what is admitted until the next ratio applies stays in the bound.
    double peak = std::max(rate, peakRate(account));
    double heard = std::chrono::duration<double>(m_bounds.window).count() - 2 * FEEDBACK_SECONDS + REPORT_SECONDS;
    double known = sum(account, &Bin::admitted, 0, static_cast<int64_t>(std::lround(heard / width)) - 1);
    double left = PEAK_BOUND_RATIO * m_bounds.maxCalls(limit.rate, limit.burst) - known - unheard;
    ratio = std::min(ratio, left / (peak * FEEDBACK_SECONDS));
    return ratio > NEGLIGIBLE_RATIO ? 1 : std::max(0.0, ratio);
}

bool QuotaController::update(Instant now)
{
    bool isLearning = now - m_startedAt < LEARNING_TIME;
    bool hasChanged = false;
    std::vector<wire::AccountRatio> next;
    for (auto it = m_accounts.begin(); it != m_accounts.end();) {
        auto found = m_limits.find(it->first);
        auto& account = it->second;
        if (found == m_limits.end() || (now - account.lastUsage > IDLE_RETENTION && !account.isListed)) {
            it = m_accounts.erase(it);
            continue;
        }
        // Without usage, an account that has no ratio gets none. This keeps the cost in proportion to the calls.
        if (!std::exchange(account.hasNews, false) && !account.isListed) {
            ++it;
            continue;
        }
        auto limit = grantedPart(found->second);
        advance(account, limit, now);
        double width = static_cast<double>(m_binMillis) / 1000;
        if (!isLearning) {
            account.ratio = computeRatio(account, limit, now);
            double use = sum(account, &Bin::admitted, 1, BINS_PER_WINDOW);
            double window = width * BINS_PER_WINDOW;
            if (account.ratio < 1 || use > LISTED_USE_RATIO * limit.rate * window + m_bounds.slack / 2)
                account.listedUntil = now + LISTED_HOLD;
        }
        bool wasListed = std::exchange(account.isListed, now < account.listedUntil);
        auto permille = static_cast<int32_t>(std::floor(account.ratio * FULL_PERMILLE));
        int32_t change = std::abs(permille - account.permille);
        bool changesEnough
            = change >= MIN_PERMILLE_CHANGE && change >= MIN_RELATIVE_CHANGE * std::min(permille, account.permille);
        bool reachesEnd = change && (permille == FULL_PERMILLE || permille == 0);
        if (changesEnough || reachesEnd || wasListed != account.isListed)
            account.permille = permille;
        hasChanged = hasChanged || changesEnough;
        account.bins[static_cast<size_t>(account.bin) % BINS].ratio
            = static_cast<float>(account.permille) / FULL_PERMILLE;
        if (account.isListed) {
            wire::AccountRatio ratio;
            ratio.account = it->first;
            ratio.permille = account.permille;
            next.push_back(ratio);
        }
        ++it;
    }
    if (!isLearning)
        m_published = std::move(next);
    return hasChanged && !isLearning;
}

std::optional<QuotaView> QuotaController::view(const std::string& account, Instant now) const
{
    auto it = m_accounts.find(callers::quotaId(account));
    if (it == m_accounts.end())
        return std::nullopt;
    return QuotaView { it->second.level, rateOver(it->second, LONG_BINS, now), it->second.permille };
}

} // namespace pomelowind::control
