// An anytime-valid comparison of two versions that run at the same time.
// Given how many faults there were in a batch, and how the calls were split, it asks whether more of the faults fell
// on the candidate than chance explains. A dip that hits both versions alike therefore gives no evidence.
//
// Evidence in favour of the candidate is kept up to a bound only (a cumulative sum test). A version may turn bad late
// or under load, and what the stable version failed before that must not be credited to it without end.
//
//     SequentialTest test(1.25);
//     test.add({ 10, 3 }, { 90, 0 }); // 3 of 10 candidate calls failed, 0 of 90 on the stable version
//     bool bad = test.logEvidence() > std::log(10000.0);
#pragma once

#include <array>
#include <cstdint>

namespace pomelowind::moves {

// Calls and how many of them were faults.
struct Sample {
    int64_t calls { 0 };
    int64_t faults { 0 };
    bool operator==(const Sample&) const = default;
};

// Evidence as a mixture of likelihood ratios over several odds ratios. While the candidate's odds of a fault are at
// most `toleratedOdds` times the stable version's, it seldom exceeds E: less than once in E batches. Thread safety:
// confined to one duty.
class SequentialTest {
public:
    // Precondition: toleratedOdds >= 1.
    explicit SequentialTest(double toleratedOdds);
    // Adds one batch of calls made in the same period and data centre.
    void add(const Sample& candidate, const Sample& stable);
    // Natural logarithm of the evidence that the candidate is worse.
    double logEvidence() const;

private:
    static constexpr std::array<double, 4> ALTERNATIVES { 2, 5, 15, 60 };

    double m_toleratedOdds;
    std::array<double, ALTERNATIVES.size()> m_logs {};
};

// Evidence, bounded as above, against a fault rate that is learned from the stable version. It needs fewer faults than
// the comparison, but a common dip moves it too, so it never decides alone. Thread safety: confined to one duty.
class RateTest {
public:
    void add(const Sample& candidate, const Sample& stable);
    // True when the stable version fails far more than it did before.
    bool isDip(const Sample& stable) const;
    double logEvidence() const;

private:
    static constexpr std::array<double, 4> EXCESS { 0.02, 0.05, 0.2, 0.6 };

    double expectedRate() const;

    Sample m_stable;
    std::array<double, EXCESS.size()> m_logs {};
};

} // namespace pomelowind::moves
