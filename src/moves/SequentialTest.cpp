#include "pomelowind/moves/SequentialTest.h"

#include <algorithm>
#include <cmath>

namespace pomelowind::moves {

namespace {

    // Prior of the expected fault rate, which dominates until the stable version has had many calls: 1 fault in 100.
    constexpr double PRIOR_FAULTS = 1;
    constexpr double PRIOR_CALLS = 100;
    constexpr double LEAST_RATE = 0.002;
    constexpr double RATE_SLACK = 1.5;
    constexpr double DIP_FACTOR = 4;
    // Bound on the accumulated evidence in favour of the candidate, as a natural logarithm. It reduces false positives
    // by about this factor, and delays the detection of a version that turns bad by a few faults.
    constexpr double MOST_CREDIT = 4;

    // Returns log(mean(exp(values))), computed without overflow.
    template <size_t N> double logMean(const std::array<double, N>& values)
    {
        double most = *std::max_element(values.begin(), values.end());
        double sum = 0;
        for (double it : values)
            sum += std::exp(it - most);
        return most + std::log(sum / N);
    }

    // Returns the probability that a fault falls on the candidate when its odds of a fault are `odds` times the stable
    // version's.
    double candidateChance(double odds, double candidateCalls, double stableCalls)
    {
        return odds * candidateCalls / (odds * candidateCalls + stableCalls);
    }

}

SequentialTest::SequentialTest(double toleratedOdds)
    : m_toleratedOdds(toleratedOdds)
{
}

void SequentialTest::add(const Sample& candidate, const Sample& stable)
{
    if (!candidate.calls || !stable.calls)
        return;
    auto faults = static_cast<double>(candidate.faults + stable.faults);
    auto candidateCalls = static_cast<double>(candidate.calls);
    auto stableCalls = static_cast<double>(stable.calls);
    double p0 = candidateChance(m_toleratedOdds, candidateCalls, stableCalls);
    for (size_t i = 0; i < ALTERNATIVES.size(); ++i) {
        double p1 = candidateChance(ALTERNATIVES[i] * m_toleratedOdds, candidateCalls, stableCalls);
        auto hits = static_cast<double>(candidate.faults);
        double step = hits * std::log(p1 / p0) + (faults - hits) * std::log((1 - p1) / (1 - p0));
        m_logs[i] = std::max(-MOST_CREDIT, m_logs[i] + step);
    }
}

double SequentialTest::logEvidence() const { return logMean(m_logs); }

double RateTest::expectedRate() const
{
    double rate
        = (static_cast<double>(m_stable.faults) + PRIOR_FAULTS) / (static_cast<double>(m_stable.calls) + PRIOR_CALLS);
    return std::min(0.5, std::max(LEAST_RATE, rate * RATE_SLACK));
}

bool RateTest::isDip(const Sample& stable) const
{
    return stable.faults > 0
        && static_cast<double>(stable.faults) > DIP_FACTOR * expectedRate() * static_cast<double>(stable.calls);
}

// The expected rate is learned only from the stable version's calls, in earlier batches and in this one.
void RateTest::add(const Sample& candidate, const Sample& stable)
{
    m_stable.calls += stable.calls;
    m_stable.faults += stable.faults;
    double q0 = expectedRate();
    auto faults = static_cast<double>(candidate.faults);
    auto good = static_cast<double>(candidate.calls - candidate.faults);
    for (size_t i = 0; i < EXCESS.size(); ++i) {
        double q1 = std::min(0.99, q0 + EXCESS[i]);
        double step = faults * std::log(q1 / q0) + good * std::log((1 - q1) / (1 - q0));
        m_logs[i] = std::max(-MOST_CREDIT, m_logs[i] + step);
    }
}

double RateTest::logEvidence() const { return logMean(m_logs); }

} // namespace pomelowind::moves
