// A control host without power does not answer connection attempts. A starting node must move on to the next one
// quickly and retry the earlier ones soon.

#include "node/DistributionCore.h"
#include "tests/support/RecordedOutputs.h"

#include <gtest/gtest.h>
#include <set>

using namespace pomelowind;
using base::Millis;

namespace {

const base::Instant T0 = base::Instant() + std::chrono::hours(1);

}

TEST(UnresponsiveParentsAreSkippedSoon, AllControlHostsAreTriedWithinOneSecondAndAgainSoon)
{
    node::NodeSettings settings;
    settings.id = "n1";
    settings.dataCentre = "dc";
    settings.relays = false;
    for (int i = 0; i < 3; ++i)
        settings.control.push_back({ "c" + std::to_string(i), "dc", { "127.0.0.1", static_cast<uint16_t>(7000 + i) } });
    tests::RecordedOutputs outputs;
    node::DistributionCore core(settings, outputs, T0, 1000, 1);
    std::set<std::string> tried;
    // No control host answers a connection attempt.
    for (Millis passed(0); passed < Millis(1000); passed += Millis(50)) {
        core.tick(T0 + passed);
        if (outputs.connected)
            tried.insert(outputs.connected->id);
    }
    EXPECT_EQ(tried.size(), 3u);
    // All are retried soon, since the first may be reachable again.
    tried.clear();
    for (Millis passed(1000); passed < Millis(2500); passed += Millis(50)) {
        core.tick(T0 + passed);
        if (outputs.connected)
            tried.insert(outputs.connected->id);
    }
    EXPECT_EQ(tried.size(), 3u);
}
