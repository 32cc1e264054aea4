// The leader's decisions on client accounts. Guards against a new leader that grants another burst, parts of
// unreachable nodes that are granted twice, and messages about accounts far below their limit.

#include "control/QuotaController.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Instant;
using base::Millis;
using control::QuotaController;

namespace {

constexpr auto START = Instant() + std::chrono::hours(1);

class TheLeaderSetsRatios : public testing::Test {
protected:
    TheLeaderSetsRatios()
        : controller({})
    {
        setLimit(100, 100);
        controller.start({}, START - std::chrono::minutes(1));
    }

    void setLimit(double rate, double burst)
    {
        wire::ClientAccount account;
        account.name = "shop";
        account.ratePerSecond = rate;
        account.burst = burst;
        controller.setLimits({ account });
    }

    // Offers `perSecond` calls for `time`, of which the published ratio is admitted.
    void run(double perSecond, Millis time)
    {
        for (auto end = now + time; now < end; now += Millis(50)) {
            m_offered += perSecond * 0.05;
            auto offered = static_cast<int32_t>(m_offered);
            m_offered -= offered;
            auto refused = static_cast<int32_t>(offered * (1000 - permille()) / 1000);
            controller.addUsage({ { callers::quotaId("shop"), offered, refused, 1 } }, now);
            controller.update(now);
        }
    }

    int permille() const { return controller.ratios().empty() ? 1000 : controller.ratios()[0].permille; }

    QuotaController controller;
    Instant now = START;

private:
    double m_offered { 0 };
};

}

TEST_F(TheLeaderSetsRatios, NoneForAccountsFarBelowTheirLimit)
{
    run(62, Millis(10000));
    EXPECT_TRUE(controller.ratios().empty());
}

TEST_F(TheLeaderSetsRatios, TheRateOfTheLimitBeyondIt)
{
    run(470, Millis(15000));
    EXPECT_NEAR(permille(), 1000.0 * 100 / 470, 30);
    run(30, Millis(10000));
    EXPECT_TRUE(controller.ratios().empty()) << "after the demand has ended";
}

TEST_F(TheLeaderSetsRatios, ANewLeaderKeepsThemUntilItHasCounts)
{
    run(470, Millis(15000));
    auto published = controller.ratios();
    QuotaController next({});
    std::swap(controller, next);
    setLimit(100, 100);
    controller.start(published, now);
    EXPECT_FALSE(controller.update(now));
    ASSERT_EQ(controller.ratios().size(), 1u) << "an empty list would end the ratio";
    EXPECT_EQ(permille(), published[0].permille);
    run(470, Millis(5000));
    EXPECT_LE(permille(), 1000.0 * 100 / 470 + 60) << "no second burst";
}

TEST_F(TheLeaderSetsRatios, NodesInContactGetTheirPartOnly)
{
    controller.setNodes(30, 40);
    run(470, Millis(15000));
    EXPECT_NEAR(permille(), 1000.0 * 75 / 470, 30);
    controller.setNodes(0, 0);
    run(470, Millis(15000));
    EXPECT_NEAR(permille(), 1000.0 * 100 / 470, 30) << "nothing is known of nodes";
}

TEST_F(TheLeaderSetsRatios, UnknownAccountsAreNotCounted)
{
    controller.addUsage({ { callers::quotaId("removed"), 1000, 0, 1 } }, now);
    EXPECT_FALSE(controller.update(now));
    EXPECT_TRUE(controller.ratios().empty());
}
