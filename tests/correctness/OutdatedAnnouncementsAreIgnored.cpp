// Announcements can arrive late or out of order, come from an earlier incarnation or a target that has departed, or
// name a target of another host. None of them may change the state of a current target. Also checks how long a control
// host that did not answer is avoided as parent.

#include "node/DistributionCore.h"
#include "pomelowind/base/Errors.h"
#include "tests/support/RecordedOutputs.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Millis;
using wire::TargetState;

namespace {

const base::Instant T0 = base::Instant() + std::chrono::hours(1);

class OutdatedAnnouncementsAreIgnored : public testing::Test {
protected:
    OutdatedAnnouncementsAreIgnored()
    {
        settings.id = "n";
        settings.dataCentre = "east";
        settings.localService = "desk";
        settings.targetAddress = base::Address { "10.0.0.9", 8080 };
        settings.targetLease = Millis(3000);
        settings.control = { { "c1", "east", { "10.0.0.1", 7000 } }, { "c2", "west", { "10.0.0.2", 7000 } } };
        core = std::make_unique<node::DistributionCore>(settings, outputs, T0, 1000, 1);
        // Until it has learned the directory, a started node holds back announcements.
        wire::DigestAnswer directory;
        directory.complete = true;
        core->digestAnswered(base::encode(directory), T0);
    }

    void announce(const std::string& id, int64_t incarnation, int64_t sequence, TargetState::type state)
    {
        node::Announcement it;
        it.target = id;
        it.serviceName = "desk";
        it.version = "v1";
        it.address = *settings.targetAddress;
        it.slots = 6;
        it.incarnation = incarnation;
        it.sequence = sequence;
        it.state = state;
        core->announce(it, T0);
    }

    TargetState::type stateOf(const std::string& id)
    {
        for (const auto& it : outputs.local) {
            if (it.target == id)
                return it.state;
        }
        return TargetState::GONE;
    }

    node::NodeSettings settings;
    tests::RecordedOutputs outputs;
    std::unique_ptr<node::DistributionCore> core;
};

}

TEST_F(OutdatedAnnouncementsAreIgnored, ReorderedAnnouncementDoesNotEndDraining)
{
    announce("i-1", 5, 3, TargetState::SERVING);
    announce("i-1", 5, 5, TargetState::LEAVING);
    announce("i-1", 5, 4, TargetState::SERVING);
    EXPECT_EQ(stateOf("i-1"), TargetState::LEAVING);
}

TEST_F(OutdatedAnnouncementsAreIgnored, OnlyANewIncarnationServesAfterADeparture)
{
    announce("i-1", 5, 3, TargetState::SERVING);
    core->depart("i-1", 5, T0);
    EXPECT_EQ(stateOf("i-1"), TargetState::LEAVING);
    announce("i-1", 5, 4, TargetState::SERVING);
    EXPECT_EQ(stateOf("i-1"), TargetState::LEAVING);
    announce("i-1", 9, 1, TargetState::SERVING);
    EXPECT_EQ(stateOf("i-1"), TargetState::SERVING);
}

TEST_F(OutdatedAnnouncementsAreIgnored, OnlyANewIncarnationServesAfterATargetHasSaidThatItLeaves)
{
    announce("i-1", 5, 3, TargetState::SERVING);
    core->drainTarget("i-1", 4, T0);
    EXPECT_EQ(stateOf("i-1"), TargetState::SERVING) << "an earlier incarnation has said so";
    core->drainTarget("i-1", 5, T0);
    EXPECT_EQ(stateOf("i-1"), TargetState::LEAVING);
    announce("i-1", 5, 4, TargetState::SERVING);
    EXPECT_EQ(stateOf("i-1"), TargetState::LEAVING) << "an announcement from before it began to leave";
    announce("i-1", 9, 1, TargetState::SERVING);
    EXPECT_EQ(stateOf("i-1"), TargetState::SERVING);
}

TEST_F(OutdatedAnnouncementsAreIgnored, NewestTargetReplacesEarlierOneAtTheSameAddress)
{
    announce("i-1", 5, 3, TargetState::SERVING);
    announce("i-2", 8, 1, TargetState::SERVING);
    EXPECT_EQ(stateOf("i-1"), TargetState::GONE);
    announce("i-1", 5, 9, TargetState::SERVING);
    EXPECT_EQ(stateOf("i-1"), TargetState::GONE);
    EXPECT_EQ(stateOf("i-2"), TargetState::SERVING);
}

TEST_F(OutdatedAnnouncementsAreIgnored, TargetsOfOtherHostsAreRefused)
{
    node::Announcement foreign;
    foreign.target = "i-3";
    foreign.serviceName = "workshop";
    foreign.address = *settings.targetAddress;
    EXPECT_THROW(core->announce(foreign, T0), base::UserError);
    foreign.serviceName = "desk";
    foreign.address = { "10.0.0.8", 8080 };
    EXPECT_THROW(core->announce(foreign, T0), base::UserError);
    EXPECT_TRUE(outputs.local.empty());
}

TEST_F(OutdatedAnnouncementsAreIgnored, UnresponsiveControlHostIsNotTriedAgainSoon)
{
    core->tick(T0);
    ASSERT_EQ(outputs.parents.back()->id, "c1") << "a control host of the own data centre comes first";
    core->tick(T0 + Millis(900));
    ASSERT_EQ(outputs.parents.back()->id, "c2") << "the first did not answer";
    core->parentReady("c2", T0 + Millis(900));
    wire::SubscribeAnswer answer;
    answer.admitted = true;
    core->parentFrame(links::FrameKind::SUBSCRIBE_ANSWER, base::encode(answer), T0 + Millis(900));
    wire::Spread spread;
    wire::Beacon beacon;
    beacon.term = 1;
    for (int ms = 1000; ms < 3900; ms += 100) {
        beacon.sequence = ms;
        spread.__set_beacon(beacon);
        core->parentFrame(links::FrameKind::SPREAD, base::encode(spread), T0 + Millis(ms));
        core->tick(T0 + Millis(ms));
        EXPECT_EQ(outputs.parents.back()->id, "c2") << ms;
    }
}
