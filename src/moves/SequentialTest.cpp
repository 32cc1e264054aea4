#include "pomelowind/moves/SequentialTest.h"

#include <algorithm>
#include <cmath>

namespace pomelowind::moves {

namespace {

    // Prior of the expected fault rate, which dominates until the stable version has had many calls: 1 fault in 100.
    constexpr double PRIOR_FAULTS = 1;
    constexpr double PRIOR_CALLS = 100;
    constexpr double MIN_EXPECTED_RATE = 0.002;
    constexpr double EXPECTED_RATE_FACTOR = 1.5;
    constexpr double DEGRADED_FACTOR = 4;
    // Bound on the accumulated evidence in favour of the candidate, as a natural logarithm. It reduces false positives
    // by about this factor, and delays the detection of a version that turns bad by a few faults.
    constexpr double MAX_CREDIT = 4;

    // Returns log(mean(exp(values))), computed without overflow.
    template <size_t N> double logMeanExp(const std::array<double, N>& values)
    {
        double largest = *std::max_element(values.begin(), values.end());
        double sum = 0;
        for (double it : values)
            sum += std::exp(it - largest);
        return largest + std::log(sum / N);
    }

    // Returns the probability that a fault falls on the candidate when its odds of a fault are `oddsRatio` times the
    // stable version's.
    double candidateFaultProbability(double oddsRatio, double candidateCalls, double stableCalls)
    {
        return oddsRatio * candidateCalls / (oddsRatio * candidateCalls + stableCalls);
    }

}

SequentialTest::SequentialTest(double toleratedOddsRatio)
    : m_toleratedOddsRatio(toleratedOddsRatio)
{
}

void SequentialTest::add(const Sample& candidate, const Sample& stable)
{
    if (!candidate.calls || !stable.calls)
        return;
    auto faults = static_cast<double>(candidate.faults + stable.faults);
    auto candidateCalls = static_cast<double>(candidate.calls);
    auto stableCalls = static_cast<double>(stable.calls);
    double p0 = candidateFaultProbability(m_toleratedOddsRatio, candidateCalls, stableCalls);
    for (size_t i = 0; i < ALTERNATIVE_ODDS_RATIOS.size(); ++i) {
        double p1
            = candidateFaultProbability(ALTERNATIVE_ODDS_RATIOS[i] * m_toleratedOddsRatio, candidateCalls, stableCalls);
        auto candidateFaults = static_cast<double>(candidate.faults);
        double step = candidateFaults * std::log(p1 / p0) + (faults - candidateFaults) * std::log((1 - p1) / (1 - p0));
        m_logLikelihoodRatios[i] = std::max(-MAX_CREDIT, m_logLikelihoodRatios[i] + step);
    }
}

double SequentialTest::logEvidence() const { return logMeanExp(m_logLikelihoodRatios); }

double RateTest::expectedRate() const
{
    double rate
        = (static_cast<double>(m_stable.faults) + PRIOR_FAULTS) / (static_cast<double>(m_stable.calls) + PRIOR_CALLS);
    return std::min(0.5, std::max(MIN_EXPECTED_RATE, rate * EXPECTED_RATE_FACTOR));
}

bool RateTest::isStableDegraded(const Sample& stable) const
{
    return stable.faults > 0
        && static_cast<double>(stable.faults) > DEGRADED_FACTOR * expectedRate() * static_cast<double>(stable.calls);
}

// The expected rate is learned only from the stable version's calls, in earlier batches and in this one.
void RateTest::add(const Sample& candidate, const Sample& stable)
{
    m_stable.calls += stable.calls;
    m_stable.faults += stable.faults;
    double q0 = expectedRate();
    auto faults = static_cast<double>(candidate.faults);
    auto successes = static_cast<double>(candidate.calls - candidate.faults);
    for (size_t i = 0; i < EXCESS_FAULT_RATES.size(); ++i) {
        double q1 = std::min(0.99, q0 + EXCESS_FAULT_RATES[i]);
        double step = faults * std::log(q1 / q0) + successes * std::log((1 - q1) / (1 - q0));
        m_logLikelihoodRatios[i] = std::max(-MAX_CREDIT, m_logLikelihoodRatios[i] + step);
    }
}

double RateTest::logEvidence() const { return logMeanExp(m_logLikelihoodRatios); }

} // namespace pomelowind::moves
