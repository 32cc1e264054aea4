// Sequential tests for a move: an anytime-valid comparison of two versions that run at the same time, and a test of the
// candidate against the fault rate learned from the stable version. EvidenceAggregator runs both for each route and
// account.
//
// The comparison is conditional on the number of faults in a batch and on how the calls were split between the
// versions. It tests whether more faults fell on the candidate than chance explains, so an outage that affects both
// versions alike yields no evidence.
//
// Evidence in favour of the candidate is accumulated only up to a bound (a cumulative sum test). A version may turn bad
// late or only under load; without the bound, earlier faults of the stable version would mask that.
//
//     SequentialTest test(1.25);
//     test.add({ 10, 3 }, { 90, 0 }); // 3 of 10 candidate calls failed, 0 of 90 on the stable version
//     bool bad = test.logEvidence() > std::log(10000.0);
#pragma once

#include <array>
#include <cstdint>

namespace pomelowind::moves {

// A number of calls, and how many of them were faults.
struct Sample {
    int64_t calls { 0 };
    int64_t faults { 0 };
    bool operator==(const Sample&) const = default;
};

// Compares the fault odds of two versions. The evidence is a mixture of likelihood ratios over several alternative odds
// ratios. While the candidate's odds of a fault are at most `toleratedOddsRatio` times the stable version's, the
// evidence exceeds E less than once in E batches. Thread safety: confined to one event loop thread.
class SequentialTest {
public:
    // Precondition: toleratedOddsRatio >= 1.
    explicit SequentialTest(double toleratedOddsRatio);
    // Adds one batch of calls made in the same period and data centre. A batch in which one version has no calls is
    // ignored.
    void add(const Sample& candidate, const Sample& stable);
    // Returns the natural logarithm of the evidence that the candidate is worse.
    double logEvidence() const;

private:
    static constexpr std::array<double, 4> ALTERNATIVE_ODDS_RATIOS { 2, 5, 15, 60 };

    double m_toleratedOddsRatio;
    std::array<double, ALTERNATIVE_ODDS_RATIOS.size()> m_logLikelihoodRatios {};
};

// Tests the candidate against a fault rate learned from the stable version, with the same bound on evidence in its
// favour. It needs fewer faults than the comparison, but also reacts to an outage that affects both versions, so it
// must not decide alone. Thread safety: confined to one event loop thread.
class RateTest {
public:
    void add(const Sample& candidate, const Sample& stable);
    // Returns true when the stable version's fault rate in this batch is far above the expected one.
    bool isStableDegraded(const Sample& stable) const;
    // Returns the natural logarithm of the evidence that the candidate's fault rate is above the expected one.
    double logEvidence() const;

private:
    static constexpr std::array<double, 4> EXCESS_FAULT_RATES { 0.02, 0.05, 0.2, 0.6 };

    double expectedRate() const;

    Sample m_stable;
    std::array<double, EXCESS_FAULT_RATES.size()> m_logLikelihoodRatios {};
};

} // namespace pomelowind::moves
