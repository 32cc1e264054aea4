// Guards against slow elections when all control hosts restart together, as after a power loss: nodes serve nothing
// until there is a leader. The shorter startup timeout must not break a lease that was granted before the restart.

#include "tests/support/ReplicaSim.h"

#include <gtest/gtest.h>

using pomelowind::base::Millis;
using pomelowind::tests::ReplicaSim;
using pomelowind::tests::SimOptions;

namespace {

constexpr auto STEP = Millis(10);

void runFor(ReplicaSim& sim, Millis time)
{
    for (Millis elapsed(0); elapsed < time; elapsed += STEP) {
        sim.advance(STEP);
        sim.deliverAll();
    }
}

SimOptions reliableNetwork(int hosts)
{
    SimOptions out;
    out.hosts = hosts;
    out.lossProbability = 0;
    out.duplicateProbability = 0;
    return out;
}

}

TEST(RestartedGroupsElectSoon, TheFormerLeaderIsReelectedAtOnce)
{
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        ReplicaSim sim(reliableNetwork(3), seed);
        sim.settle();
        auto formerLeader = sim.leader();
        ASSERT_FALSE(formerLeader.empty());
        for (const auto& it : sim.hosts())
            sim.crash(it);
        for (const auto& it : sim.hosts())
            sim.restart(it);
        // The startup election timeout of 80 ms and two steps; far below the regular election timeout of 400 ms.
        runFor(sim, Millis(100));
        EXPECT_EQ(sim.leader(), formerLeader) << "seed " << seed;
        EXPECT_EQ(sim.violation(), "");
    }
}

// One follower was partitioned from the leader long ago and runs for election. The other follower, whose answers uphold
// the leader's lease, restarts and must not vote before the lease has expired.
TEST(RestartedGroupsElectSoon, ARestartedHostHonoursTheLeaseThatItGranted)
{
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        ReplicaSim sim(reliableNetwork(3), seed);
        sim.settle();
        auto formerLeader = sim.leader();
        auto followers = sim.hosts();
        std::erase(followers, formerLeader);
        auto partition = [&](const std::string& follower) {
            sim.cut(formerLeader, follower);
            sim.cut(follower, formerLeader);
        };
        partition(followers[0]);
        runFor(sim, Millis(1000));
        ASSERT_EQ(sim.leader(), formerLeader) << "seed " << seed;
        partition(followers[1]);
        sim.crash(followers[1]);
        sim.restart(followers[1]);
        runFor(sim, Millis(2000));
        EXPECT_NE(sim.leader(), formerLeader) << "seed " << seed;
        EXPECT_EQ(sim.violation(), "") << "seed " << seed;
    }
}
