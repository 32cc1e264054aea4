// Guards against confusing retries with first attempts. Callers state only their remaining time budget, which also
// differs between first attempts.

#include "pomelowind/base/Random.h"
#include "pomelowind/callers/PatienceEstimator.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Instant;
using base::Millis;

namespace {

const Instant T0 = Instant() + std::chrono::hours(1);
constexpr int CALLERS = 2000;

// Budget at the first attempt: 1.7 to 2 s.
Millis patience(base::Random& random) { return Millis(1700 + static_cast<int64_t>(random.below(300))); }

}

TEST(ReturningCallersAreToldApart, FirstAttemptsOfLessPatientCallersAreNotLate)
{
    base::Random random(1);
    callers::PatienceEstimator estimator;
    int mistaken = 0;
    for (int i = 0; i < CALLERS; ++i)
        mistaken += estimator.arrived("r", patience(random), T0 + Millis(20 * i)) > Millis(0) ? 1 : 0;
    EXPECT_LT(mistaken, CALLERS / 10);
}

TEST(ReturningCallersAreToldApart, ThoseWhoComeBackAreEstimatedWithinTheRangeOfPatience)
{
    base::Random random(2);
    callers::PatienceEstimator estimator;
    for (int i = 0; i < CALLERS; ++i)
        estimator.arrived("r", patience(random), T0 + Millis(20 * i));
    auto now = T0 + Millis(20 * CALLERS);
    for (int i = 0; i < CALLERS; ++i) {
        // The service is overloaded: refused callers retry after 600 ms, and most arrivals are retries.
        estimator.refused("r", now);
        auto passed = estimator.arrived("r", patience(random) - Millis(600), now);
        EXPECT_NEAR(static_cast<double>(passed.count()), 600, 200);
        estimator.arrived("r", patience(random) - Millis(600), now);
        now += Millis(10);
    }
    EXPECT_EQ(estimator.arrived("r", Millis(1800), now), Millis(0)) << "the range of first attempts must not change";
}

TEST(ReturningCallersAreToldApart, AChangeOfTheCallersIsFollowed)
{
    base::Random random(3);
    callers::PatienceEstimator estimator;
    for (int i = 0; i < CALLERS; ++i)
        estimator.arrived("r", patience(random), T0 + Millis(20 * i));
    int mistaken = 0;
    for (int i = CALLERS; i < 3 * CALLERS; ++i) {
        auto passed = estimator.arrived("r", patience(random) / 2, T0 + Millis(20 * i));
        mistaken += i >= 2 * CALLERS && passed > Millis(0) ? 1 : 0;
    }
    EXPECT_LT(mistaken, CALLERS / 10);
}

// Guards against a fault seen after all nodes were killed at once: callers that had failed during the outage retried
// first, and were taken for first attempts.
TEST(ReturningCallersAreToldApart, ThoseWhoComeBackAfterARestartAreTooWhenNothingIsKnownYet)
{
    base::Random random(4);
    callers::PatienceEstimator estimator(T0);
    int mistaken = 0;
    int unseen = 0;
    for (int i = 0; i < 100; ++i) {
        auto now = T0 + Millis(10 * i);
        mistaken += estimator.arrived("r", patience(random), now) > Millis(0) ? 1 : 0;
        bool isSeen = estimator.arrived("r", patience(random) - Millis(900), now) > Millis(0);
        unseen += isSeen ? 0 : 1;
    }
    EXPECT_LT(mistaken, 10);
    EXPECT_LT(unseen, 10);
    // Once the callers of the outage have retried or given up, the range is learned as usual.
    for (int i = 0; i < CALLERS; ++i)
        estimator.arrived("r", patience(random), T0 + Millis(4000 + 20 * i));
    EXPECT_EQ(estimator.arrived("r", Millis(1800), T0 + Millis(4000 + 20 * CALLERS)), Millis(0));
}
