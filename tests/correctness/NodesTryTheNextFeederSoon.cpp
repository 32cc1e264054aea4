// A feeder that cannot be reached keeps a starting node from another one for a short time only.

#include "node/DistributionCore.h"
#include "tests/support/RecordedOutputs.h"

#include <gtest/gtest.h>
#include <set>

using namespace pomelowind;
using base::Millis;

namespace {

const base::Instant T0 = base::Instant() + std::chrono::hours(1);

}

TEST(NodesTryTheNextFeederSoon, AfterAPowerLossAllAreTriedWithinASecond)
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
    // None of them answers a dial, as hosts without power do.
    for (Millis passed(0); passed < Millis(1000); passed += Millis(50)) {
        core.tick(T0 + passed);
        if (outputs.connected)
            tried.insert(outputs.connected->id);
    }
    EXPECT_EQ(tried.size(), 3u);
    // The first comes back and must not be left alone for seconds.
    tried.clear();
    for (Millis passed(1000); passed < Millis(2500); passed += Millis(50)) {
        core.tick(T0 + passed);
        if (outputs.connected)
            tried.insert(outputs.connected->id);
    }
    EXPECT_EQ(tried.size(), 3u);
}
