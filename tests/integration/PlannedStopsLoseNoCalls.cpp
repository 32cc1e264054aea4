// Planned stops, starts and reloads of real processes lose no calls, whatever signals come when.

#include "benchmarks/SoakRun.h"

#include <gtest/gtest.h>

using namespace pomelowind;

namespace {

std::vector<std::string> violationsOfSeed(uint64_t seed, int acts)
{
    bench::SoakOptions options;
    options.seed = seed;
    options.nodes = 4;
    options.acts = acts;
    return bench::runSoak(options).violations;
}

}

TEST(PlannedStopsLoseNoCalls, WhileFewProcessesStopAtATime)
{
    EXPECT_EQ(violationsOfSeed(1, 1), std::vector<std::string>());
}

TEST(PlannedStopsLoseNoCalls, WhileAllProcessesMayStopAtATime)
{
    EXPECT_EQ(violationsOfSeed(2, 2), std::vector<std::string>());
}
