// A call is sent to another data centre only if the time this saves is worth more than the bytes it transfers. Guards
// against large bodies that use links between data centres although a local target can serve them in time.

#include "pomelowind/targets/Balancer.h"
#include "pomelowind/targets/Gate.h"
#include "tests/support/Presences.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Millis;
using targets::isWorthCrossing;
using tests::target;

namespace {

const base::Instant T0 = base::Instant() + std::chrono::hours(1);
constexpr size_t SMALL = 1024;
constexpr size_t LARGE = 60 * 1024;
constexpr int SLOTS = tests::TARGET_SLOTS;
const targets::CrossingPrice PRICE { 60 };

class LargeCallsPreferLocalTargets : public testing::Test {
protected:
    LargeCallsPreferLocalTargets() { recordCalls("far", Millis(100), 1); }

    // Records calls with service time `run` at a target.
    void recordCalls(const std::string& name, Millis run, int calls)
    {
        for (int i = 0; i < calls; ++i) {
            balancer.onAttemptStarted(name);
            targets::AttemptResult result;
            result.target = name;
            result.kind = "k";
            result.serviceTime = run;
            result.latency = run;
            balancer.onAttemptEnded(result, T0);
        }
    }
    std::string chosenTarget(size_t bodyBytes, Millis untilObjective)
    {
        return balancer.choose(allTargets, "s", { "v1", {} }, {}, T0, { "k", bodyBytes, untilObjective })
            ->target.target;
    }
    void startCalls(const std::string& name, int calls)
    {
        for (int i = 0; i < calls; ++i)
            balancer.onAttemptStarted(name);
    }

    nodes::TargetList allTargets { target("near", "dc"), target("far", "other") };
    targets::Balancer balancer { "dc", 1, PRICE };
};

}

TEST_F(LargeCallsPreferLocalTargets, SizeAndPriceDecideWhenBothTargetsAreInTime)
{
    targets::CallProfile small { SMALL, Millis(1000) };
    targets::CallProfile large { LARGE, Millis(1000) };
    EXPECT_FALSE(isWorthCrossing(150, 100, small, PRICE));
    EXPECT_TRUE(isWorthCrossing(170, 100, small, PRICE)) << "a kilobyte costs as much as 60 ms";
    EXPECT_FALSE(isWorthCrossing(600, 100, large, PRICE));
    EXPECT_TRUE(isWorthCrossing(600, 100, large, {})) << "without a price";
}

TEST_F(LargeCallsPreferLocalTargets, CallThatWouldBeLateLocallyCrossesRegardlessOfSize)
{
    targets::CallProfile large { LARGE, Millis(500) };
    EXPECT_TRUE(isWorthCrossing(600, 100, large, PRICE));
    EXPECT_FALSE(isWorthCrossing(600, 550, large, PRICE)) << "late at both targets";
    EXPECT_FALSE(isWorthCrossing(300, 600, large, PRICE));
    EXPECT_FALSE(isWorthCrossing(600, 100, { LARGE, {} }, PRICE)) << "a call without an objective is never late";
}

TEST_F(LargeCallsPreferLocalTargets, BusyLocalTargetKeepsLargeBodiesAndLosesSmallOnes)
{
    startCalls("near", 2 * SLOTS);
    EXPECT_EQ(chosenTarget(LARGE, Millis(1000)), "near");
    EXPECT_EQ(chosenTarget(SMALL, Millis(1000)), "far");
    EXPECT_EQ(chosenTarget(LARGE, Millis(250)), "far") << "it would be late at the local target";
}

TEST_F(LargeCallsPreferLocalTargets, SlowLocalTargetIsAvoidedEvenWhenIdle)
{
    EXPECT_EQ(chosenTarget(LARGE, Millis(400)), "near");
    for (int i = 0; i < 30; ++i) {
        recordCalls("near", Millis(900), 1);
        recordCalls("far", Millis(100), 1);
    }
    EXPECT_EQ(chosenTarget(LARGE, Millis(400)), "far");
}

TEST_F(LargeCallsPreferLocalTargets, WaitAtLastLocalTargetIsBoundedByTransferCost)
{
    auto placement = balancer.choose(allTargets, "s", { "v1", {} }, {}, T0, { "k", 2048, Millis(1000) });
    ASSERT_TRUE(placement->maxQueueWait);
    EXPECT_EQ(*placement->maxQueueWait, Millis(120));
    allTargets.push_back(target("near-2", "dc"));
    EXPECT_FALSE(balancer.choose(allTargets, "s", { "v1", {} }, {}, T0, { "k", 2048, Millis(1000) })->maxQueueWait)
        << "another local target may have a free slot";
    nodes::TargetList alone { target("near", "dc") };
    EXPECT_FALSE(balancer.choose(alone, "s", { "v1", {} }, {}, T0, { "k", 2048, Millis(1000) })->maxQueueWait);
}

TEST_F(LargeCallsPreferLocalTargets, GateRefusesCallsThatWouldExceedTheirMaximumWait)
{
    targets::GateOptions options;
    options.slots = 1;
    options.coldStart = Millis(0);
    targets::Gate gate(options, T0);
    std::optional<uint64_t> shed;
    targets::GateCall call { 1, "k", 5, T0 + Millis(5000) };
    call.kind = "k";
    call.typicalServiceTime = Millis(100);
    call.objective = T0 + Millis(1000);
    ASSERT_EQ(gate.admit(call, T0, shed), targets::GateVerdict::Run);
    for (int i = 0; i < 10; ++i)
        gate.recordElapsed("k", Millis(100));
    gate.finished("k", Millis(100), T0);
    ASSERT_EQ(gate.admit(call, T0, shed), targets::GateVerdict::Run);
    call.id = 2;
    call.maxQueueWait = Millis(1);
    EXPECT_EQ(gate.admit(call, T0, shed), targets::GateVerdict::Overloaded);
    call.maxQueueWait = Millis(500);
    EXPECT_EQ(gate.admit(call, T0, shed), targets::GateVerdict::Queued);
}
