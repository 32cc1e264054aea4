// Runs the replicas through thousands of seeded random schedules with faults. No committed entry may be lost or
// changed, each term has at most one leader, and the group must commit entries again once the faults have ended.

#include "tests/support/ReplicaSim.h"

#include <gtest/gtest.h>

using pomelowind::tests::ReplicaSim;
using pomelowind::tests::SimOptions;

namespace {

constexpr int SCHEDULES = 1500;
constexpr int STEPS = 400;

void runSchedules(const SimOptions& options, uint64_t firstSeed)
{
    for (uint64_t seed = firstSeed; seed < firstSeed + SCHEDULES; ++seed) {
        ReplicaSim sim(options, seed);
        for (int i = 0; i < STEPS && sim.violation().empty(); ++i)
            sim.step();
        sim.settle();
        ASSERT_EQ(sim.violation(), "") << "seed " << seed;
        ASSERT_FALSE(sim.leader().empty()) << "no leader after the faults, seed " << seed;
        const auto& leader = sim.replica(sim.leader());
        ASSERT_EQ(leader.commitIndex(), leader.lastIndex()) << "seed " << seed;
        for (const auto& host : sim.hosts()) {
            ASSERT_EQ(sim.replica(host).commitIndex(), leader.commitIndex()) << host << " seed " << seed;
            ASSERT_FALSE(sim.replica(host).isRecovering()) << host << " seed " << seed;
        }
    }
}

}

TEST(ReplicaKeepsCommittedEntries, ThreeHosts) { runSchedules({ 3, 0.02, 0.02, false }, 1); }
TEST(ReplicaKeepsCommittedEntries, FiveHostsWithAnUnreliableNetwork) { runSchedules({ 5, 0.1, 0.1, false }, 100000); }
TEST(ReplicaKeepsCommittedEntries, ThreeHostsThatLoseDisks) { runSchedules({ 3, 0.02, 0.02, true }, 200000); }
