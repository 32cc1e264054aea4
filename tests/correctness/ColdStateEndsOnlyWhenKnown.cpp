// Guards against a target that counts as hot although nothing that is known says so, or as cold without an end.

#include "pomelowind/targets/ColdState.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Millis;
using targets::ColdState;

namespace {

const base::Instant T0 = base::Instant() + std::chrono::hours(1);
constexpr Millis COLD_START(3000);

}

TEST(ColdStateEndsOnlyWhenKnown, AnnouncedTimeCountsFromItsReceipt)
{
    ColdState state;
    state.onAnnounced(Millis(2000), COLD_START, T0);
    EXPECT_TRUE(state.isCold(T0 + Millis(1999)));
    EXPECT_FALSE(state.isCold(T0 + Millis(2000)));
    state.onAnnounced(Millis(0), COLD_START, T0 + Millis(1500));
    EXPECT_FALSE(state.isCold(T0 + Millis(1500)));
    state.onAnnounced(Millis(2500), COLD_START, T0 + Millis(3000));
    EXPECT_EQ(state.until(), T0 + Millis(5500)) << "it has become cold again";
}

TEST(ColdStateEndsOnlyWhenKnown, SilentTargetIsColdForTheTimeOfItsService)
{
    ColdState state;
    state.onAnnounced({}, COLD_START, T0);
    state.onAnnounced({}, COLD_START, T0 + Millis(1000));
    EXPECT_EQ(state.until(), T0 + COLD_START);
    state.assume(T0 + Millis(9000), T0 + Millis(9000));
    EXPECT_TRUE(state.isCold(T0 + Millis(60000)));
    state.onAnnounced({}, COLD_START, T0 + Millis(9500));
    state.onAnnounced({}, COLD_START, T0 + Millis(10500));
    EXPECT_EQ(state.until(), T0 + Millis(9000) + COLD_START);
}

TEST(ColdStateEndsOnlyWhenKnown, AssumptionEndsWithTheSecondReportAfterItThatSaysZero)
{
    ColdState state;
    state.onAnnounced(Millis(0), COLD_START, T0);
    state.assume(T0 + Millis(1000), T0 + Millis(1000));
    state.onAnnounced(Millis(0), COLD_START, T0 + Millis(1000));
    EXPECT_EQ(state.until(), base::Instant::max()) << "the report may be older than the assumption";
    state.onAnnounced(Millis(100), COLD_START, T0 + Millis(2000));
    EXPECT_TRUE(state.isCold(T0 + Millis(2200)));
    state.onAnnounced(Millis(0), COLD_START, T0 + Millis(3500));
    EXPECT_FALSE(state.isCold(T0 + Millis(3500)));
}

TEST(ColdStateEndsOnlyWhenKnown, LateReportsOfAnEndedProcessDoNotEndIt)
{
    ColdState state;
    state.onAnnounced(Millis(0), COLD_START, T0);
    state.assume(T0, T0 + Millis(4000));
    state.assume(T0 + Millis(10), T0 + Millis(10));
    state.onAnnounced(Millis(0), COLD_START, T0 + Millis(3900));
    state.onAnnounced(Millis(0), COLD_START, T0 + Millis(4100));
    EXPECT_TRUE(state.isCold(T0 + Millis(4100))) << "it may have been made before";
    state.onAnnounced(Millis(0), COLD_START, T0 + Millis(5600));
    EXPECT_FALSE(state.isCold(T0 + Millis(5600)));
}

TEST(ColdStateEndsOnlyWhenKnown, OthersAreToldOfChangesButNotOfJitter)
{
    auto now = T0 + Millis(1000);
    EXPECT_FALSE(targets::mustPublishCold(T0 + Millis(3000), T0 + Millis(3200), now));
    EXPECT_TRUE(targets::mustPublishCold(T0 + Millis(3000), T0 + Millis(3300), now));
    EXPECT_FALSE(targets::mustPublishCold(T0 + Millis(3000), T0 + Millis(2600), now));
    EXPECT_TRUE(targets::mustPublishCold(T0 + Millis(3000), T0, now));
    EXPECT_FALSE(targets::mustPublishCold(T0, T0 + Millis(900), now)) << "both have passed";
}
