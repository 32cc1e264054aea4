// Guards against confusing retries with first attempts. Callers state only their remaining time budget, which also
// differs between first attempts.

#include "pomelowind/base/Random.h"
#include "pomelowind/callers/ElapsedTimeEstimator.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Instant;
using base::Millis;

namespace {

const Instant T0 = Instant() + std::chrono::hours(1);
constexpr int CALLERS = 2000;

// Budget at the first attempt: 1.7 to 2 s.
Millis firstBudget(base::Random& random) { return Millis(1700 + static_cast<int64_t>(random.uniformBelow(300))); }

}

TEST(RetriesAreDistinguishedFromFirstAttempts, ShortBudgetsOfFirstAttemptsAreNotTakenForRetries)
{
    base::Random random(1);
    callers::ElapsedTimeEstimator estimator;
    int falseRetries = 0;
    for (int i = 0; i < CALLERS; ++i)
        falseRetries += estimator.estimateElapsed("r", firstBudget(random), T0 + Millis(20 * i)) > Millis(0) ? 1 : 0;
    EXPECT_LT(falseRetries, CALLERS / 10);
}

TEST(RetriesAreDistinguishedFromFirstAttempts, ElapsedTimeOfRetriesIsEstimatedWithinRangeOfBudgets)
{
    base::Random random(2);
    callers::ElapsedTimeEstimator estimator;
    for (int i = 0; i < CALLERS; ++i)
        estimator.estimateElapsed("r", firstBudget(random), T0 + Millis(20 * i));
    auto now = T0 + Millis(20 * CALLERS);
    for (int i = 0; i < CALLERS; ++i) {
        // The service is overloaded: refused callers retry after 600 ms, and most arrivals are retries.
        estimator.recordRefusal("r", now);
        auto elapsed = estimator.estimateElapsed("r", firstBudget(random) - Millis(600), now);
        EXPECT_NEAR(static_cast<double>(elapsed.count()), 600, 200);
        estimator.estimateElapsed("r", firstBudget(random) - Millis(600), now);
        now += Millis(10);
    }
    EXPECT_EQ(estimator.estimateElapsed("r", Millis(1800), now), Millis(0))
        << "the range of first attempts must not change";
}

TEST(RetriesAreDistinguishedFromFirstAttempts, RangeFollowsChangedBudgets)
{
    base::Random random(3);
    callers::ElapsedTimeEstimator estimator;
    for (int i = 0; i < CALLERS; ++i)
        estimator.estimateElapsed("r", firstBudget(random), T0 + Millis(20 * i));
    int falseRetries = 0;
    for (int i = CALLERS; i < 3 * CALLERS; ++i) {
        auto elapsed = estimator.estimateElapsed("r", firstBudget(random) / 2, T0 + Millis(20 * i));
        falseRetries += i >= 2 * CALLERS && elapsed > Millis(0) ? 1 : 0;
    }
    EXPECT_LT(falseRetries, CALLERS / 10);
}

// Guards against a fault seen after all nodes were killed at once: callers that had failed during the outage retried
// first, and were taken for first attempts.
TEST(RetriesAreDistinguishedFromFirstAttempts, RetriesAfterRestartAreDetectedBeforeRangeIsKnown)
{
    base::Random random(4);
    callers::ElapsedTimeEstimator estimator(T0);
    int falseRetries = 0;
    int missedRetries = 0;
    for (int i = 0; i < 100; ++i) {
        auto now = T0 + Millis(10 * i);
        falseRetries += estimator.estimateElapsed("r", firstBudget(random), now) > Millis(0) ? 1 : 0;
        bool isDetected = estimator.estimateElapsed("r", firstBudget(random) - Millis(900), now) > Millis(0);
        missedRetries += isDetected ? 0 : 1;
    }
    EXPECT_LT(falseRetries, 10);
    EXPECT_LT(missedRetries, 10);
    // Once the callers of the outage have retried or given up, the range is learned as usual.
    for (int i = 0; i < CALLERS; ++i)
        estimator.estimateElapsed("r", firstBudget(random), T0 + Millis(4000 + 20 * i));
    EXPECT_EQ(estimator.estimateElapsed("r", Millis(1800), T0 + Millis(4000 + 20 * CALLERS)), Millis(0));
}
