// Guards against a process that has just started taking a late announcement for the state of a target that has left:
// what the mesh knows of an incarnation outlives a restart of the node beside it (review/5).

#include "tests/support/GossipSim.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Millis;
using wire::TargetState;

namespace {

constexpr int64_t BORN = tests::GossipSim::START_MS - 60000;

class RestartedNodesKeepDepartures : public testing::Test {
protected:
    RestartedNodesKeepDepartures()
        : sim(3)
    {
        sim.advance(Millis(500));
    }

    void announce(int64_t born, int64_t sequence, TargetState::type state = TargetState::SERVING)
    {
        node::Announcement it;
        it.target = "i-1";
        it.serviceName = "desk";
        it.version = "v1";
        it.address = tests::GossipSim::TARGET_ADDRESS;
        it.slots = 6;
        it.incarnation = born;
        it.sequence = sequence;
        it.state = state;
        sim.node(0).announce(it, sim.now());
    }

    bool isUsedAnywhere(int64_t born) const
    {
        return sim.isAdmitted("i-1", born) || sim.isUsed(0, "i-1", born) || sim.isUsed(1, "i-1", born)
            || sim.isUsed(2, "i-1", born);
    }

    tests::GossipSim sim;
};

}

TEST_F(RestartedNodesKeepDepartures, DeregistrationAtTheRestartedNodeIsRecorded)
{
    announce(BORN, 3);
    sim.restartNode(0);
    sim.node(0).depart("i-1", BORN, sim.now());
    announce(BORN, 4);
    EXPECT_FALSE(isUsedAnywhere(BORN));
    sim.advance(Millis(3000));
    announce(BORN, 5);
    sim.advance(Millis(1000));
    EXPECT_FALSE(isUsedAnywhere(BORN));
}

TEST_F(RestartedNodesKeepDepartures, DeregistrationWithoutIncarnationCoversAllThatHaveStarted)
{
    sim.restartNode(0);
    sim.node(0).depart("i-1", std::nullopt, sim.now());
    announce(BORN, 4);
    sim.advance(Millis(3000));
    EXPECT_FALSE(isUsedAnywhere(BORN));
    announce(tests::GossipSim::START_MS + 10000, 1);
    sim.advance(Millis(500));
    EXPECT_TRUE(isUsedAnywhere(tests::GossipSim::START_MS + 10000));
}

TEST_F(RestartedNodesKeepDepartures, DeregistrationBeforeTheRestartOutlivesIt)
{
    announce(BORN, 3);
    sim.node(0).depart("i-1", BORN, sim.now());
    sim.advance(Millis(200));
    for (int restarts = 0; restarts < 2; ++restarts) {
        sim.restartNode(0);
        announce(BORN, 4 + restarts);
        EXPECT_FALSE(isUsedAnywhere(BORN)) << "before the node knows the directory";
        sim.advance(Millis(3000));
        EXPECT_FALSE(isUsedAnywhere(BORN));
    }
}

TEST_F(RestartedNodesKeepDepartures, LateAnnouncementDoesNotEndDrainingAfterARestart)
{
    announce(BORN, 3);
    announce(BORN, 5, TargetState::LEAVING);
    sim.advance(Millis(200));
    sim.restartNode(0);
    sim.advance(Millis(500));
    announce(BORN, 4);
    sim.advance(Millis(500));
    EXPECT_FALSE(isUsedAnywhere(BORN));
}

TEST_F(RestartedNodesKeepDepartures, RepliesThatSayLeavingOutliveARestart)
{
    announce(BORN, 3);
    sim.node(0).drainTarget("i-1", BORN, sim.now());
    sim.advance(Millis(200));
    sim.restartNode(0);
    announce(BORN, 4);
    sim.advance(Millis(3000));
    announce(BORN, 5);
    sim.advance(Millis(500));
    EXPECT_FALSE(isUsedAnywhere(BORN));
}

TEST_F(RestartedNodesKeepDepartures, OtherNodesRememberWhenNodeAndControlHostsRestartTogether)
{
    announce(BORN, 3);
    sim.node(0).depart("i-1", BORN, sim.now());
    sim.advance(Millis(200));
    sim.restartNode(0);
    sim.restartControlHost(0);
    sim.restartControlHost(1);
    announce(BORN, 4);
    sim.advance(Millis(5000));
    EXPECT_FALSE(isUsedAnywhere(BORN));
}

TEST_F(RestartedNodesKeepDepartures, DeregistrationOfAnEarlierIncarnationDrainsNoLaterOne)
{
    announce(BORN + 5000, 1);
    sim.node(0).depart("i-1", BORN, sim.now());
    sim.advance(Millis(500));
    EXPECT_TRUE(isUsedAnywhere(BORN + 5000));
}

TEST_F(RestartedNodesKeepDepartures, DepartureAfterTheLeaseHasEndedIsRecorded)
{
    announce(BORN, 3);
    sim.advance(Millis(11000));
    EXPECT_FALSE(isUsedAnywhere(BORN));
    sim.node(0).depart("i-1", BORN, sim.now());
    announce(BORN, 4);
    sim.advance(Millis(500));
    EXPECT_FALSE(isUsedAnywhere(BORN));
}

TEST_F(RestartedNodesKeepDepartures, StoppedNodeServesItsTargetAgain)
{
    announce(BORN, 3);
    sim.advance(Millis(200));
    sim.node(0).startDraining(sim.now());
    sim.advance(Millis(200));
    EXPECT_FALSE(isUsedAnywhere(BORN) && sim.isUsed(1, "i-1", BORN));
    sim.restartNode(0);
    announce(BORN, 4);
    sim.advance(Millis(1000));
    EXPECT_TRUE(sim.isAdmitted("i-1", BORN));
    EXPECT_TRUE(sim.isUsed(1, "i-1", BORN) && sim.isUsed(2, "i-1", BORN));
}
