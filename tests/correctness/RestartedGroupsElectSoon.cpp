// After all control hosts were killed or lost power nodes serve nothing until there is a leader again.

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
        // The start's retry and a step; far below the election timeout of 400 ms.
        pass(sim, Millis(100));
        EXPECT_EQ(sim.leader(), former) << "seed " << seed;
        EXPECT_EQ(sim.violation(), "");
    }
}

// One follower lost the leader long ago and campaigns; the other, on whose answer the leader's lease counts, restarts.
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
