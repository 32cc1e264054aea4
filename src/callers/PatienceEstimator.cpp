#include "pomelowind/callers/PatienceEstimator.h"

#include <algorithm>

namespace pomelowind::callers {

namespace {

    // With fewer samples than the first number the range is unknown. Up to the second number it is the range between
    // the smallest and the largest sample, which is more accurate for few samples than tracked quantiles.
    constexpr int TELLING_SAMPLES = 8;
    constexpr int FIRST_SAMPLES = 40;
    // Fraction of the first attempts that lie outside the range, on either side.
    constexpr double OUTSIDE = 0.03;
    // Step of a tracked quantile, as a ratio of the upper end of the range. The range follows a change of the callers
    // within a few hundred requests.
    constexpr double STEP = 0.01;
    constexpr size_t MAX_ROUTES = 1024;
    // Until the range is known, this quantile of the early callers' budgets is assumed to be the budget of a first
    // attempt, and a caller with less than LEAST_PART of it is assumed to be retrying.
    constexpr double EARLY_RANK = 0.9;
    constexpr double LEAST_PART = 0.7;
    constexpr size_t EARLY_CALLERS = 64;

    // Returns the estimate of the quantile `part`, after one more sample.
    double moved(double quantile, double sample, double part, double step)
    {
        return quantile + (sample > quantile ? step * part : -step * (1 - part));
    }

}

void PatienceEstimator::learn(Range& range, double ms)
{
    if (range.samples < FIRST_SAMPLES) {
        range.least = range.samples ? std::min(range.least, ms) : ms;
        range.most = std::max(range.most, ms);
        ++range.samples;
        return;
    }
    double step = STEP * range.most;
    range.least = moved(range.least, ms, OUTSIDE, step);
    range.most = std::max(range.least, moved(range.most, ms, 1 - OUTSIDE, step));
}

base::Millis PatienceEstimator::tried(const Range& range, double ms)
{
    return base::Millis(ms >= range.least ? 0 : static_cast<int64_t>((range.least + range.most) / 2 - ms));
}

base::Millis PatienceEstimator::triedByEarly(Range& range, double ms)
{
    auto& early = range.early;
    if (early.size() < EARLY_CALLERS)
        early.insert(std::upper_bound(early.begin(), early.end(), ms), ms);
    if (early.size() < TELLING_SAMPLES)
        return base::Millis(0);
    double usual = early[static_cast<size_t>(EARLY_RANK * static_cast<double>(early.size() - 1))];
    return base::Millis(ms >= LEAST_PART * usual ? 0 : static_cast<int64_t>(usual - ms));
}

base::Millis PatienceEstimator::arrived(const std::string& route, base::Millis budget, base::Instant now)
{
    if (m_ranges.size() >= MAX_ROUTES && !m_ranges.count(route))
        return base::Millis(0);
    auto& range = m_ranges.try_emplace(route, Range { 0, 0, 0, m_startedAt, {} }).first->second;
    auto ms = static_cast<double>(budget.count());
    // A refused caller has retried or given up once the whole budget of a first attempt has passed.
    bool allAreNew = range.refusedAt == base::Instant()
        || now - range.refusedAt > base::Millis(static_cast<int64_t>(std::max(range.most, ms)));
    if (allAreNew)
        learn(range, ms);
    if (range.samples >= TELLING_SAMPLES)
        return tried(range, ms);
    return allAreNew ? base::Millis(0) : triedByEarly(range, ms);
}

void PatienceEstimator::refused(const std::string& route, base::Instant now)
{
    auto it = m_ranges.find(route);
    if (it != m_ranges.end())
        it->second.refusedAt = now;
}

} // namespace pomelowind::callers
