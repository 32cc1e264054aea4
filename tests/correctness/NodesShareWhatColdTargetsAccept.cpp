// Guards against nodes that choose a cold target as often as a hot one, or not at all.

#include "pomelowind/targets/Balancer.h"
#include "tests/support/Presences.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Millis;
using tests::target;

namespace {

const base::Instant T0 = base::Instant() + std::chrono::hours(1);
const targets::ColdRates RATES { { "s", 10.0 } };

wire::Presence cold(const std::string& name, const std::string& dataCentre, int32_t leftMs)
{
    auto out = target(name, dataCentre);
    out.coldLeftMs = leftMs;
    return out;
}

class NodesShareWhatColdTargetsAccept : public testing::Test {
protected:
    // Returns the targets of `n` choices with 10 ms between them.
    std::map<std::string, int> choose(int n)
    {
        std::map<std::string, int> out;
        for (int i = 0; i < n; ++i, now += Millis(10)) {
            auto placement = balancer.choose(list, "s", { "v1", {} }, {}, now);
            if (placement)
                ++out[placement->target.target];
        }
        return out;
    }

    targets::Balancer balancer { "east", 1 };
    nodes::TargetList list;
    base::Instant now { T0 };
};

}

TEST_F(NodesShareWhatColdTargetsAccept, ColdTargetGetsThisNodesPartOfTheRateUntilItIsHot)
{
    list = { cold("a", "east", 4000), target("b", "east") };
    balancer.setCold(list, now, RATES);
    auto whileCold = choose(400);
    EXPECT_GE(whileCold["a"], 14) << "two nodes share 10 calls per second for 4 s";
    EXPECT_LE(whileCold["a"], 20);
    EXPECT_GT(choose(400)["a"], 100) << "it is like the other afterwards";
}

TEST_F(NodesShareWhatColdTargetsAccept, ColdTargetsElsewhereAreTheLastChoice)
{
    list = { cold("a", "west", 4000), target("b", "east") };
    balancer.setCold(list, now, RATES);
    EXPECT_EQ(choose(100)["a"], 0);
    list = { cold("a", "west", 4000) };
    EXPECT_EQ(choose(10)["a"], 10) << "there is no other";
}

TEST_F(NodesShareWhatColdTargetsAccept, AnswersOfTheGateTellMoreThanTheList)
{
    list = { target("a", "east"), target("b", "east") };
    balancer.setCold(list, now, RATES);
    EXPECT_FALSE(balancer.coldTargets().isCold("a", now));
    balancer.onAttemptStarted("a");
    targets::AttemptResult refused;
    refused.target = "a";
    refused.refused = true;
    refused.cold = true;
    refused.retryAfter = Millis(800);
    balancer.onAttemptEnded(refused, now);
    balancer.setCold(list, now, RATES);
    EXPECT_TRUE(balancer.coldTargets().isCold("a", now)) << "the same list again says nothing new";
    EXPECT_EQ(choose(79)["a"], 0) << "the gate has said when it admits the next call";
    balancer.onAttemptStarted("a");
    targets::AttemptResult ran;
    ran.target = "a";
    ran.cold = false;
    balancer.onAttemptEnded(ran, now);
    EXPECT_FALSE(balancer.coldTargets().isCold("a", now));
}

TEST_F(NodesShareWhatColdTargetsAccept, WithoutARateColdTargetsAreChosenLikeOthers)
{
    list = { cold("a", "east", 4000), target("b", "east") };
    balancer.setCold(list, now, {});
    EXPECT_GT(choose(100)["a"], 20);
}
