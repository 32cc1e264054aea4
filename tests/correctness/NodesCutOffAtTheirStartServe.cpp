// Guards against a node that is cut off from the control hosts right after its start, before it was told that it knows
// all departures, and keeps its targets out of use for as long.

#include "tests/support/RecordedOutputs.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace pomelowind;
using base::Millis;
using wire::TargetState;

namespace {

const base::Instant T0 = base::Instant() + std::chrono::hours(1);

class NodesCutOffAtTheirStartServe : public testing::Test {
protected:
    NodesCutOffAtTheirStartServe()
    {
        settings.id = "n";
        settings.dataCentre = "east";
        core = std::make_unique<node::DistributionCore>(settings, outputs, T0, 1000, 1);
        node::Announcement it;
        it.target = "t";
        it.serviceName = "s";
        it.version = "v1";
        it.address = { "10.0.0.9", 8080 };
        it.slots = 4;
        it.incarnation = 5;
        it.sequence = 3;
        core->announce(it, T0);
    }

    // A peer that has started at the same time answers: it has the configuration, but does not know all departures.
    void answerFromPeer()
    {
        wire::Resource service;
        service.key = config::serviceKey("s");
        wire::ServiceResource content;
        content.name = "s";
        service.__set_serviceResource(content);
        auto state = config::ConfigState().withResource(service);
        wire::DigestAnswer answer;
        answer.version = state.version();
        answer.__set_delta(state.deltaSince(0));
        core->digestAnswered(base::encode(answer), T0);
    }

    bool isInState(TargetState::type state) const
    {
        return std::any_of(outputs.local.begin(), outputs.local.end(),
            [&](const node::Announcement& it) { return it.target == "t" && it.state == state; });
    }

    bool claimsToBeComplete()
    {
        return base::decode<wire::DigestAnswer>(core->answerDigest(base::encode(wire::Digest()), T0)).complete;
    }

    node::NodeSettings settings;
    tests::RecordedOutputs outputs;
    std::unique_ptr<node::DistributionCore> core;
};

}

TEST_F(NodesCutOffAtTheirStartServe, WithWhatTheirPeersKnow)
{
    answerFromPeer();
    core->tick(T0 + Millis(2900));
    EXPECT_FALSE(isInState(TargetState::SERVING)) << "the control hosts may still tell";
    core->tick(T0 + Millis(3100));
    EXPECT_TRUE(isInState(TargetState::SERVING));
    EXPECT_FALSE(claimsToBeComplete()) << "its peers must not take it for more than it is";
    wire::Departure departure;
    departure.target = "t";
    departure.incarnation = 5;
    departure.noticeSequence = nodes::FINAL_NOTICE;
    nodes::Directory recorded;
    wire::Spread spread;
    spread.targets = recorded.mergeDepartures({ departure }, T0).targets;
    core->parentFrame(links::FrameKind::SPREAD, base::encode(spread), T0 + Millis(4000));
    EXPECT_FALSE(isInState(TargetState::SERVING)) << "a departure that it learns later drains the target";
}

TEST_F(NodesCutOffAtTheirStartServe, ButNotWhileThereIsALeader)
{
    answerFromPeer();
    for (Millis at(0); at <= Millis(10000); at += Millis(500)) {
        wire::Spread spread;
        wire::Beacon beacon;
        beacon.term = 1;
        beacon.sequence = at.count() + 1;
        spread.__set_beacon(beacon);
        core->parentFrame(links::FrameKind::SPREAD, base::encode(spread), T0 + at);
        core->tick(T0 + at);
        ASSERT_FALSE(isInState(TargetState::SERVING)) << at.count();
    }
}
