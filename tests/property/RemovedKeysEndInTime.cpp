// Guards the bound on the time for which any node honours a key after its removal is acknowledged, and the time for
// which a node without contact goes on honouring keys. POMELOWIND_LEASE_SCHEDULES sets the number of schedules.

#include "tests/support/LeaseSim.h"

#include <cstdlib>
#include <gtest/gtest.h>

using namespace pomelowind;
using base::Millis;
using tests::LeaseSim;

namespace {

constexpr uint64_t SCHEDULES = 300;
constexpr auto SCHEDULE_TIME = Millis(30000);
constexpr auto MIN_SERVICE = LeaseSim::REVOKE * 6 / 10;

uint64_t scheduleCount()
{
    const char* text = std::getenv("POMELOWIND_LEASE_SCHEDULES");
    return text ? std::strtoull(text, nullptr, 10) : SCHEDULES;
}

}

TEST(RemovedKeysEndInTime, UnderFaults)
{
    Millis longest(0);
    uint64_t honoured = 0;
    uint64_t steps = 0;
    for (uint64_t seed = 1; seed <= scheduleCount(); ++seed) {
        LeaseSim sim({ seed });
        sim.run(SCHEDULE_TIME);
        ASSERT_LE(sim.longestAfterRemoval(), LeaseSim::REVOKE) << "seed " << seed;
        longest = std::max(longest, sim.longestAfterRemoval());
        honoured += sim.honoured();
        steps += sim.steps();
    }
    RecordProperty("longest_ms", std::to_string(longest.count()));
    RecordProperty("honoured", std::to_string(static_cast<double>(honoured) / static_cast<double>(steps)));
    EXPECT_GT(longest, LeaseSim::REVOKE * 9 / 10) << "the schedules come nowhere near the bound";
    EXPECT_GT(honoured * 2, steps) << "nodes rarely honour keys, so the bound is hardly tested";
}

// The model notices a proof that starts when its answer arrives.
TEST(RemovedKeysEndInTime, NotWithProofsFromTheTimeOfReceipt)
{
    Millis longest(0);
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        LeaseSim sim({ seed, true, true });
        sim.run(SCHEDULE_TIME);
        longest = std::max(longest, sim.longestAfterRemoval());
    }
    EXPECT_GT(longest, LeaseSim::REVOKE);
}

TEST(NodesWithoutContact, GoOnHonouringKeys)
{
    for (uint64_t seed = 1; seed <= scheduleCount(); ++seed) {
        LeaseSim sim({ seed, false });
        sim.run(Millis(3000 + 10 * (seed % 50)));
        auto node = seed % sim.nodeCount();
        sim.isolate(node);
        sim.run(MIN_SERVICE);
        ASSERT_TRUE(sim.honoursKeys(node)) << "seed " << seed;
        sim.run(LeaseSim::REVOKE);
        ASSERT_FALSE(sim.honoursKeys(node)) << "seed " << seed;
    }
}
