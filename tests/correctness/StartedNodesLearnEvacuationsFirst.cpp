// Guards against nodes that have just started, or were partitioned, and that let calls reach evacuated targets because
// they do not know of the evacuation yet.

#include "node/DistributionCore.h"
#include "node/Evacuations.h"
#include "pomelowind/base/Packing.h"
#include "tests/support/ControlGroupSim.h"
#include "tests/support/Presences.h"
#include "tests/support/RecordedOutputs.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using links::FrameKind;
using node::Evacuations;

namespace {

const base::Instant T0 = base::Instant() + std::chrono::hours(1);

config::ConfigState started(const config::ConfigState& state, const std::string& dataCentre)
{
    wire::Resource resource;
    resource.key = config::evacuationKey(dataCentre);
    wire::Evacuation evacuation;
    evacuation.dataCentre = dataCentre;
    resource.__set_evacuation(evacuation);
    return state.withResource(resource);
}

config::ConfigState finished(const config::ConfigState& state, const std::string& dataCentre)
{
    return state.withoutResource(config::evacuationKey(dataCentre));
}

node::MeshView view(const config::ConfigState& state, bool serving = true)
{
    node::MeshView out;
    out.config = std::make_shared<const config::ConfigState>(state);
    out.targets = std::make_shared<const nodes::TargetList>(
        nodes::TargetList { tests::target("t1", "east"), tests::target("t2", "west") });
    out.serving = serving;
    return out;
}

}

TEST(StartedNodesLearnEvacuationsFirst, GatesStayClosedUntilTheNodeServes)
{
    Evacuations evacuations("east");
    EXPECT_FALSE(evacuations.areGatesOpen());
    evacuations.update(view({}, false));
    EXPECT_FALSE(evacuations.areGatesOpen()) << "its configuration may be older than an evacuation";
    auto change = evacuations.update(view(started({}, "east")));
    EXPECT_FALSE(evacuations.areGatesOpen());
    EXPECT_FALSE(change.evacuationEnded);
    EXPECT_EQ(evacuations.excludedTargets(), std::set<std::string> { "t1" });
}

TEST(StartedNodesLearnEvacuationsFirst, GatesOfOtherDataCentresOpen)
{
    Evacuations evacuations("west");
    auto change = evacuations.update(view(started({}, "east")));
    EXPECT_TRUE(change.opened);
    EXPECT_FALSE(change.evacuationEnded) << "a start is no end of an evacuation";
    EXPECT_EQ(evacuations.excludedTargets(), std::set<std::string> { "t1" });
}

TEST(StartedNodesLearnEvacuationsFirst, EndIsNoticedAlsoWhenTheStartWasMissed)
{
    Evacuations evacuations("east");
    config::ConfigState state;
    evacuations.update(view(state));
    auto evacuated = started(state, "east");
    auto closed = evacuations.update(view(evacuated));
    EXPECT_TRUE(closed.closed && !closed.evacuationEnded);
    state = finished(evacuated, "east");
    auto opened = evacuations.update(view(state));
    EXPECT_TRUE(opened.opened && opened.evacuationEnded);
    state = finished(started(state, "east"), "east");
    auto missed = evacuations.update(view(state));
    EXPECT_TRUE(missed.evacuationEnded) << "for example after a partition";
    EXPECT_FALSE(evacuations.update(view(state)).evacuationEnded);
}

TEST(StartedNodesLearnEvacuationsFirst, NodeWaitsForABeaconWhenItsControlHostIsNotUpToDate)
{
    tests::RecordedOutputs outputs;
    node::NodeSettings settings;
    settings.id = "n1";
    settings.control = { { "c1", "east", { "127.0.0.1", 7000 } } };
    node::DistributionCore core(settings, outputs, T0, 1000, 1);
    core.tick(T0);
    core.parentReady("c1", T0);
    wire::SubscribeAnswer answer;
    answer.admitted = true;
    answer.version = 1;
    core.parentFrame(FrameKind::SUBSCRIBE_ANSWER, base::encode(answer), T0);
    auto old = finished({}, "none");
    core.parentFrame(FrameKind::DELTA, base::pack(base::encode(old.deltaSince(0))), T0);
    EXPECT_FALSE(core.isServing()) << "the leader may be at a later version";
    wire::Spread spread;
    wire::Beacon beacon;
    beacon.term = beacon.sequence = 1;
    beacon.version = 2;
    spread.__set_beacon(beacon);
    core.parentFrame(FrameKind::SPREAD, base::encode(spread), T0);
    EXPECT_FALSE(core.isServing());
    auto current = started(old, "east");
    core.parentFrame(FrameKind::DELTA, base::pack(base::encode(current.deltaSince(1))), T0);
    ASSERT_TRUE(core.isServing());
    EXPECT_EQ(outputs.view->config->evacuatedDataCentres(), std::set<std::string> { "east" });
}

TEST(StartedNodesLearnEvacuationsFirst, StartedControlHostSaysThatItMayLackChanges)
{
    tests::ControlGroupSim group(3, 1);
    group.advance(base::Millis(3000));
    ASSERT_GE(group.leader(), 0);
    int follower = (group.leader() + 1) % 3;
    std::optional<wire::SubscribeAnswer> answer;
    group.setNodeSink([&](int, const std::string&, links::Kind kind, const std::string& payload) {
        if (kind == FrameKind::SUBSCRIBE_ANSWER)
            answer = base::decode<wire::SubscribeAnswer>(payload);
    });
    wire::Subscribe request;
    request.node.node = "n1";
    auto isFresh = [&](int host) {
        ++request.node.sequence;
        group.deliver(host, "n1", FrameKind::SUBSCRIBE, base::encode(request));
        return answer && answer->fresh;
    };
    EXPECT_TRUE(isFresh(group.leader()));
    EXPECT_TRUE(isFresh(follower));
    group.restart(follower);
    EXPECT_FALSE(isFresh(follower)) << "it has only what was on its disk";
    group.advance(base::Millis(2000));
    EXPECT_TRUE(isFresh(follower));
}
