// Admission control by the gate of a target: concurrency slots, queue, deadlines, priorities, fairness between
// accounts, cold start and draining. Guards against a target that receives more concurrent calls than it can serve.

#include "pomelowind/base/Random.h"
#include "pomelowind/targets/Gate.h"

#include <gtest/gtest.h>
#include <set>

using namespace pomelowind;
using base::Millis;
using targets::Gate;
using targets::GateVerdict;

namespace {

const base::Instant T0 = base::Instant() + std::chrono::hours(1);

targets::GateOptions options(int slots)
{
    targets::GateOptions out;
    out.slots = slots;
    out.coldStart = Millis(0);
    return out;
}

targets::GateCall call(uint64_t id, const std::string& account = "a", int priority = 5)
{
    return { id, account, priority, T0 + Millis(100000) };
}

}

TEST(GateProtectsTarget, RunningCallsNeverExceedSlots)
{
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        base::Random random(seed);
        Gate gate(options(4), T0);
        std::set<uint64_t> running;
        std::set<uint64_t> queued;
        auto apply = [&](const targets::GateStep& step) {
            for (auto id : step.run) {
                ASSERT_EQ(queued.erase(id), 1u);
                running.insert(id);
            }
            for (auto id : step.refuse)
                ASSERT_EQ(queued.erase(id), 1u);
        };
        for (uint64_t id = 1; id < 300; ++id) {
            std::optional<uint64_t> shed;
            auto verdict = gate.admit(
                call(id, "a" + std::to_string(random.uniformBelow(3)), static_cast<int>(random.uniformBelow(3))), T0,
                shed);
            if (shed) {
                ASSERT_EQ(queued.erase(*shed), 1u);
            }
            if (verdict == GateVerdict::Run)
                running.insert(id);
            else if (verdict == GateVerdict::Queued)
                queued.insert(id);
            if (random.bernoulli(0.5) && !running.empty()) {
                running.erase(running.begin());
                apply(gate.finished("", Millis(2), T0));
            }
            ASSERT_LE(running.size(), 4u) << "seed " << seed;
            ASSERT_EQ(static_cast<size_t>(gate.running()), running.size());
            ASSERT_EQ(static_cast<size_t>(gate.queued()), queued.size());
        }
    }
}

TEST(GateProtectsTarget, CallOfHigherPriorityEvictsQueuedCallOfLowerPriority)
{
    Gate gate(options(1), T0);
    std::optional<uint64_t> shed;
    gate.admit(call(1), T0, shed);
    for (uint64_t id = 2; id <= 5; ++id)
        ASSERT_EQ(gate.admit(call(id, "low", 1), T0, shed), GateVerdict::Queued);
    EXPECT_EQ(gate.admit(call(6, "low", 1), T0, shed), GateVerdict::Overloaded);
    EXPECT_EQ(gate.admit(call(7, "high", 9), T0, shed), GateVerdict::Queued);
    EXPECT_EQ(shed, 5u);
    EXPECT_EQ(gate.finished("", Millis(1), T0).run, std::vector<uint64_t> { 7 });
}

TEST(GateProtectsTarget, AccountsOfSamePriorityAreServedInTurn)
{
    Gate gate(options(1), T0);
    std::optional<uint64_t> shed;
    gate.admit(call(1, "x"), T0, shed);
    for (uint64_t id = 2; id <= 4; ++id)
        gate.admit(call(id, "greedy"), T0, shed);
    gate.admit(call(5, "modest"), T0, shed);
    auto first = gate.finished("", Millis(1), T0).run.front();
    auto second = gate.finished("", Millis(1), T0).run.front();
    EXPECT_TRUE(first == 5 || second == 5);
}

TEST(GateProtectsTarget, QueuedCallIsRefusedWhenItsDeadlineCannotBeMet)
{
    Gate gate(options(1), T0);
    std::optional<uint64_t> shed;
    gate.admit(call(1), T0, shed);
    targets::GateCall shortDeadline { 2, "a", 5, T0 + Millis(50) };
    ASSERT_EQ(gate.admit(shortDeadline, T0, shed), GateVerdict::Queued);
    EXPECT_TRUE(gate.sweep(T0 + Millis(10)).refuse.empty());
    EXPECT_EQ(gate.sweep(T0 + Millis(60)).refuse, std::vector<uint64_t> { 2 });
}

TEST(GateProtectsTarget, ColdTargetStartsWithQuarterOfItsSlots)
{
    auto cold = options(12);
    cold.coldStart = Millis(1000);
    Gate gate(cold, T0);
    EXPECT_EQ(gate.limit(T0), 3);
    EXPECT_EQ(gate.limit(T0 + Millis(1000)), 12);
}

TEST(GateProtectsTarget, ColdTargetWithFullColdShareStartsWithAllItsSlots)
{
    auto cold = options(6);
    cold.coldStart = Millis(3000);
    cold.coldStartRatio = 1;
    Gate gate(cold, T0);
    std::optional<uint64_t> shed;
    for (uint64_t id = 1; id <= 6; ++id)
        EXPECT_EQ(gate.admit(call(id), T0, shed), GateVerdict::Run);
    EXPECT_TRUE(gate.isCold(T0)) << "its latency must not count as evidence about its version yet";
}

TEST(GateProtectsTarget, DrainingTargetRefusesNewCallsAndFinishesRunningOnes)
{
    Gate gate(options(1), T0);
    std::optional<uint64_t> shed;
    gate.admit(call(1), T0, shed);
    gate.admit(call(2), T0, shed);
    EXPECT_EQ(gate.startDraining().refuse, std::vector<uint64_t> { 2 });
    EXPECT_EQ(gate.admit(call(3), T0, shed), GateVerdict::Draining);
    EXPECT_EQ(gate.running(), 1);
}
