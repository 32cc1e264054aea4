#include "pomelowind/callers/PatienceEstimator.h"

#include <algorithm>

namespace pomelowind::callers {

namespace {

    // Below this number the range is unknown and everybody counts as new; up to the second one it is the range seen,
    // which tells more of few samples than tracked quantiles do.
    constexpr int TELLING_SAMPLES = 8;
    constexpr int FIRST_SAMPLES = 40;
    // The range holds all but this part of the first attempts on either side.
    constexpr double OUTSIDE = 0.03;
    // Part of the range's upper end that one sample moves a quantile by: follows a change of the callers within some
    // hundred requests.
    constexpr double STEP = 0.01;
    constexpr size_t MAX_ROUTES = 1024;
    // Until the range is known, first attempts are taken to have about what all but the most patient tenth of the early
    // callers have at most, and whoever has less than this part of it has tried before.
    constexpr double EARLY_RANK = 0.9;
    constexpr double LEAST_PART = 0.7;
    constexpr size_t EARLY_CALLERS = 64;

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
    // Whoever was refused has come back or given up once its whole patience has passed.
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
