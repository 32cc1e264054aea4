// Guards against slow elections when all control hosts restart together, as after a power loss: nodes serve nothing
// until there is a leader. The shorter startup timeout must not break a lease that was granted before the restart.

#include "tests/support/ReplicaSim.h"

#include <gtest/gtest.h>

using pomelowind::base::Millis;
using pomelowind::tests::ReplicaSim;
using pomelowind::tests::SimOptions;

namespace {

constexpr auto STEP = Millis(10);

void pass(ReplicaSim& sim, Millis time)
{
    for (Millis passed(0); passed < time; passed += STEP) {
        sim.advance(STEP);
        sim.deliverAll();
    }
}

SimOptions calm(int hosts)
{
    SimOptions out;
    out.hosts = hosts;
    out.loss = 0;
    out.repeat = 0;
    return out;
}

}

TEST(RestartedGroupsElectSoon, TheFormerLeaderReturnsAtOnce)
{
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        ReplicaSim sim(calm(3), seed);
        sim.settle();
        auto former = sim.leader();
        ASSERT_FALSE(former.empty());
        for (const auto& it : sim.hosts())
            sim.crash(it);
        for (const auto& it : sim.hosts())
            sim.restart(it);
        // The startup election timeout of 80 ms and two steps; far below the regular election timeout of 400 ms.
        pass(sim, Millis(100));
        EXPECT_EQ(sim.leader(), former) << "seed " << seed;
        EXPECT_EQ(sim.violation(), "");
    }
}

// One follower was partitioned from the leader long ago and runs for election. The other follower, whose answers uphold
// the leader's lease, restarts and must not vote before the lease has expired.
TEST(RestartedGroupsElectSoon, ARestartedHostHonoursTheLeaseThatItGranted)
{
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        ReplicaSim sim(calm(3), seed);
        sim.settle();
        auto former = sim.leader();
        auto followers = sim.hosts();
        std::erase(followers, former);
        auto cutBoth = [&](const std::string& follower) {
            sim.cut(former, follower);
            sim.cut(follower, former);
        };
        cutBoth(followers[0]);
        pass(sim, Millis(1000));
        ASSERT_EQ(sim.leader(), former) << "seed " << seed;
        cutBoth(followers[1]);
        sim.crash(followers[1]);
        sim.restart(followers[1]);
        pass(sim, Millis(2000));
        EXPECT_NE(sim.leader(), former) << "seed " << seed;
        EXPECT_EQ(sim.violation(), "") << "seed " << seed;
    }
}
