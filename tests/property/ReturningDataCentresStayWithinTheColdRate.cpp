// Guards against the targets of a data centre that returns from an evacuation getting more calls than they accept while
// cold, and against nodes that offer them far more calls than they take or leave what they accept unused.

#include "tests/support/ColdReturnSim.h"

#include <cstdio>
#include <gtest/gtest.h>

using namespace pomelowind;
using Balancing = tests::ColdReturnSim::Balancing;

namespace {

tests::ColdReturnSim::Result runReturn(int nodes, Balancing balancing, uint64_t seed)
{
    tests::ColdReturnSim::Options options;
    options.nodes = nodes;
    options.balancing = balancing;
    options.seed = seed;
    // Long enough for the full share to return; the model of a large site takes seconds of processor time for each.
    options.after = base::Millis(nodes > 100 ? 5000 : 7000);
    auto out = tests::ColdReturnSim(options).run();
    std::printf("%d nodes, %s, seed %d: at most %d calls/s at a cold target, full share after %d ms, %d calls, %d "
                "refused, %d attempts refused, %d crossings, %d served there in the first second\n",
        nodes, balancing == Balancing::Aware ? "aware" : "naive", static_cast<int>(seed), out.mostInOneSecond,
        out.untilFullShareMs, out.calls, out.callsRefused, out.attemptsRefused, out.crossings, out.coldServed);
    return out;
}

void expectGoodReturn(int nodes, uint64_t seed)
{
    constexpr int COLD_RATE = 13;
    auto naive = runReturn(nodes, Balancing::Naive, seed);
    auto aware = runReturn(nodes, Balancing::Aware, seed);
    EXPECT_LE(naive.mostInOneSecond, COLD_RATE) << "the gates keep to the rate whatever nodes choose";
    EXPECT_LE(aware.mostInOneSecond, COLD_RATE);
    EXPECT_LT(aware.attemptsRefused * 3, naive.attemptsRefused);
    EXPECT_LE(aware.callsRefused, naive.callsRefused);
    EXPECT_GT(aware.coldServed, COLD_RATE * nodes / 3 / 2) << "what cold targets accept is used";
    EXPECT_GE(aware.untilFullShareMs, 0);
}

}

TEST(ReturningDataCentresStayWithinTheColdRate, With78Nodes)
{
    for (uint64_t seed = 1; seed <= 3; ++seed)
        expectGoodReturn(78, seed);
}

TEST(ReturningDataCentresStayWithinTheColdRate, With576Nodes)
{
    for (uint64_t seed = 1; seed <= 2; ++seed)
        expectGoodReturn(576, seed);
}
