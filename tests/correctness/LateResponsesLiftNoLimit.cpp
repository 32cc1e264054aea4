// Guards against a response that a target sent before it named a limit, and that arrives after it, lifting the limit.

#include "pomelowind/targets/AcceptedRate.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Instant;
using base::Millis;
using Rate = std::optional<double>;

namespace {

const Instant T0 = Instant() + std::chrono::hours(1);

}

TEST(LateResponsesLiftNoLimit, OnlyRequestsSentAfterTheLimitWasConfirmedLiftOrRaiseIt)
{
    targets::AcceptedRate rate;
    EXPECT_FALSE(rate.onResponse(std::nullopt, T0, T0 + Millis(5)));
    EXPECT_TRUE(rate.onResponse(15.0, T0 + Millis(10), T0 + Millis(30)));
    EXPECT_FALSE(rate.onResponse(std::nullopt, T0 + Millis(20), T0 + Millis(40)));
    EXPECT_FALSE(rate.onResponse(20.0, T0 + Millis(20), T0 + Millis(45)));
    EXPECT_EQ(rate.callsPerSecond(), Rate(15.0));
    EXPECT_FALSE(rate.onResponse(15.0, T0 + Millis(35), T0 + Millis(60)));
    EXPECT_FALSE(rate.onResponse(std::nullopt, T0 + Millis(50), T0 + Millis(70))) << "it may precede the confirmation";
    EXPECT_TRUE(rate.onResponse(std::nullopt, T0 + Millis(61), T0 + Millis(80)));
    EXPECT_EQ(rate.callsPerSecond(), Rate());
}

TEST(LateResponsesLiftNoLimit, LowerLimitAppliesAtOnce)
{
    targets::AcceptedRate rate;
    rate.onResponse(15.0, T0, T0 + Millis(30));
    EXPECT_TRUE(rate.onResponse(7.5, T0 + Millis(20), T0 + Millis(40)));
    EXPECT_EQ(rate.callsPerSecond(), Rate(7.5));
    EXPECT_TRUE(rate.onResponse(15.0, T0 + Millis(41), T0 + Millis(50)));
    EXPECT_EQ(rate.callsPerSecond(), Rate(15.0));
}

TEST(LateResponsesLiftNoLimit, LimitHeardFromOtherNodesCountsUntilTheFirstResponse)
{
    targets::AcceptedRate rate;
    EXPECT_TRUE(rate.onHint(15.0));
    EXPECT_FALSE(rate.onHint(20.0)) << "the lower of two counts";
    EXPECT_EQ(rate.callsPerSecond(), Rate(15.0));
    EXPECT_TRUE(rate.onResponse(std::nullopt, T0, T0 + Millis(30)));
    EXPECT_FALSE(rate.onHint(15.0)) << "the target itself has said that it has no limit";
    EXPECT_EQ(rate.callsPerSecond(), Rate());
}
