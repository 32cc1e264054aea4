#include "pomelowind/callers/ElapsedTimeEstimator.h"

#include <algorithm>

namespace pomelowind::callers {

namespace {

    // With fewer samples than the first number the range is unknown. Up to the second number it is the range between
    // the smallest and the largest sample, which is more accurate for few samples than tracked quantiles.
    constexpr int MIN_SAMPLES = 8;
    constexpr int MIN_QUANTILE_SAMPLES = 40;
    // Fraction of the first attempts that lie below the range; the same fraction lies above it.
    constexpr double TAIL_FRACTION = 0.03;
    // Step of a tracked quantile, as a ratio of the upper end of the range. The range follows a change of the callers
    // within a few hundred requests.
    constexpr double QUANTILE_STEP = 0.01;
    constexpr size_t MAX_ROUTES = 1024;
    // Until the range is known, this quantile of the early callers' budgets is assumed to be the budget of a first
    // attempt, and a caller with less than MIN_FIRST_ATTEMPT_RATIO of it is assumed to be retrying.
    constexpr double INITIAL_BUDGET_QUANTILE = 0.9;
    constexpr double MIN_FIRST_ATTEMPT_RATIO = 0.7;
    constexpr size_t MAX_EARLY_BUDGETS = 64;

    // Returns the estimate of the quantile `fraction`, after one more sample.
    double updatedQuantile(double quantile, double sample, double fraction, double step)
    {
        return quantile + (sample > quantile ? step * fraction : -step * (1 - fraction));
    }

}

void ElapsedTimeEstimator::updateRange(Range& range, double ms)
{
    if (range.samples < MIN_QUANTILE_SAMPLES) {
        range.low = range.samples ? std::min(range.low, ms) : ms;
        range.high = std::max(range.high, ms);
        ++range.samples;
        return;
    }
    double step = QUANTILE_STEP * range.high;
    range.low = updatedQuantile(range.low, ms, TAIL_FRACTION, step);
    range.high = std::max(range.low, updatedQuantile(range.high, ms, 1 - TAIL_FRACTION, step));
}

base::Millis ElapsedTimeEstimator::elapsedByRange(const Range& range, double ms)
{
    return base::Millis(ms >= range.low ? 0 : static_cast<int64_t>((range.low + range.high) / 2 - ms));
}

base::Millis ElapsedTimeEstimator::elapsedByEarlyBudgets(Range& range, double ms)
{
    auto& budgets = range.earlyBudgets;
    if (budgets.size() < MAX_EARLY_BUDGETS)
        budgets.insert(std::upper_bound(budgets.begin(), budgets.end(), ms), ms);
    if (budgets.size() < MIN_SAMPLES)
        return base::Millis(0);
    double firstAttemptMs
        = budgets[static_cast<size_t>(INITIAL_BUDGET_QUANTILE * static_cast<double>(budgets.size() - 1))];
    return base::Millis(ms >= MIN_FIRST_ATTEMPT_RATIO * firstAttemptMs ? 0 : static_cast<int64_t>(firstAttemptMs - ms));
}

base::Millis ElapsedTimeEstimator::estimateElapsed(const std::string& route, base::Millis budget, base::Instant now)
{
    if (m_budgetRanges.size() >= MAX_ROUTES && !m_budgetRanges.count(route))
        return base::Millis(0);
    auto& range = m_budgetRanges.try_emplace(route, Range { 0, 0, 0, m_startedAt, {} }).first->second;
    auto ms = static_cast<double>(budget.count());
    // A refused caller has retried or given up once the whole budget of a first attempt has passed.
    bool allFirstAttempts = range.refusedAt == base::Instant()
        || now - range.refusedAt > base::Millis(static_cast<int64_t>(std::max(range.high, ms)));
    if (allFirstAttempts)
        updateRange(range, ms);
    if (range.samples >= MIN_SAMPLES)
        return elapsedByRange(range, ms);
    return allFirstAttempts ? base::Millis(0) : elapsedByEarlyBudgets(range, ms);
}

void ElapsedTimeEstimator::recordRefusal(const std::string& route, base::Instant now)
{
    auto it = m_budgetRanges.find(route);
    if (it != m_budgetRanges.end())
        it->second.refusedAt = now;
}

} // namespace pomelowind::callers
