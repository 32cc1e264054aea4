// A restarted node must not serve an older version than the one it ran before the restart (its floor), and must serve
// once it knows the floor and has reached it.

#include "node/DistributionCore.h"
#include "pomelowind/base/Packing.h"
#include "tests/support/RecordedOutputs.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Millis;
using links::FrameKind;

namespace {

const base::Instant T0 = base::Instant() + std::chrono::hours(1);

class RestartedNodeServesNoOlderVersion : public testing::Test {
protected:
    RestartedNodeServesNoOlderVersion()
    {
        settings.id = "n1";
        settings.dataCentre = "dc";
        settings.control = { { "c1", "dc", { "127.0.0.1", 7000 } } };
        core = std::make_unique<node::DistributionCore>(settings, outputs, T0, 1000, 1);
        core->tick(T0);
        core->parentReady("c1", T0);
    }

    void admit(int64_t floor, bool fresh)
    {
        wire::SubscribeAnswer answer;
        answer.admitted = true;
        answer.floor = floor;
        answer.fresh = fresh;
        core->parentFrame(FrameKind::SUBSCRIBE_ANSWER, base::encode(answer), T0);
    }

    // Publishes a configuration at version `versions` to the node.
    void publishVersion(int versions)
    {
        config::ConfigState state;
        for (int i = 0; i < versions; ++i) {
            wire::Resource resource;
            resource.key = config::serviceKey("s");
            resource.__set_serviceResource({});
            state = state.withResource(resource);
        }
        core->parentFrame(FrameKind::DELTA, base::pack(base::encode(state.deltaSince(0))), T0);
    }

    void receiveBeacon(int64_t version)
    {
        wire::Spread spread;
        wire::Beacon it;
        it.term = 1;
        it.sequence = ++m_sequence;
        it.version = version;
        spread.__set_beacon(it);
        core->parentFrame(FrameKind::SPREAD, base::encode(spread), T0);
    }

    node::NodeSettings settings;
    tests::RecordedOutputs outputs;
    std::unique_ptr<node::DistributionCore> core;

private:
    int64_t m_sequence { 0 };
};

}

TEST_F(RestartedNodeServesNoOlderVersion, WaitsForTheVersionThatItRan)
{
    admit(5, true);
    publishVersion(4);
    EXPECT_FALSE(core->isServing());
    publishVersion(5);
    EXPECT_TRUE(core->isServing());
}

TEST_F(RestartedNodeServesNoOlderVersion, LearnsTheFloorFromABeaconWhenTheParentIsBehind)
{
    receiveBeacon(3);
    publishVersion(2);
    EXPECT_FALSE(core->isServing()) << "below the leader's version";
    publishVersion(3);
    EXPECT_TRUE(core->isServing()) << "regression: in restart-storm with 200 nodes, 6 never served";
}

TEST_F(RestartedNodeServesNoOlderVersion, WaitsForItsPeersWhilePartitioned)
{
    publishVersion(2);
    core->tick(T0 + Millis(10000));
    EXPECT_FALSE(core->isServing()) << "the floor is unknown";
    wire::DigestAnswer answer;
    answer.version = 2;
    core->digestAnswered(base::encode(answer), T0 + Millis(10000));
    EXPECT_TRUE(core->isServing());
}
