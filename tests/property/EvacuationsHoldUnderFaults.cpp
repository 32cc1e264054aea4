// Guards against an acknowledged evacuation that is lost, that a delayed or resent order undoes, or that a node in
// contact with the control hosts does not apply in time: while leaders and nodes end and start again, data centres are
// partitioned and acknowledgements are lost.

#include "tests/support/EvacuatedMesh.h"

#include <cstdlib>
#include <gtest/gtest.h>

using namespace pomelowind;

namespace {

// 1,000 were run by hand with POMELOWIND_SCHEDULES=1000.
constexpr int SCHEDULES = 12;

int schedules()
{
    const char* text = std::getenv("POMELOWIND_SCHEDULES");
    return text ? std::atoi(text) : SCHEDULES;
}

}

TEST(EvacuationsHoldUnderFaults, NodesInContactFollowTheLastAcknowledgedOrder)
{
    int acknowledged = 0;
    int checks = 0;
    for (int seed = 1; seed <= schedules(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        tests::EvacuatedMesh mesh(6, static_cast<uint64_t>(seed));
        ASSERT_EQ(mesh.run(base::Millis(90000)), "");
        acknowledged += mesh.acknowledged();
        checks += mesh.checks();
    }
    EXPECT_GT(acknowledged, 4 * schedules());
    EXPECT_GT(checks, 1000 * schedules());
}
