// Guards against an acknowledged departure that is forgotten when all processes end at once, after which a late
// announcement from before it brings the target back into use (review/12).

#include "tests/support/DepartureMesh.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Millis;
using wire::TargetState;

namespace {

constexpr int64_t BORN = 1700000000000 - 60000;
constexpr int64_t NEXT_BORN = 1700000000000 + 50000;

class DeparturesOutliveAllProcesses : public testing::Test {
protected:
    DeparturesOutliveAllProcesses()
        : mesh(3)
    {
        mesh.advance(Millis(3000));
        mesh.announce(BORN, 5);
        mesh.advance(Millis(1000));
        EXPECT_TRUE(mesh.isUsed(BORN));
    }

    // Lets time pass, in which announcements from before the departure arrive.
    void expectUnused(Millis time)
    {
        for (Millis passed(0); passed < time; passed += Millis(500)) {
            mesh.announce(BORN, 4);
            mesh.advance(Millis(500));
            ASSERT_FALSE(mesh.isUsed(BORN)) << passed.count() << " ms after";
        }
    }

    void expectNextIncarnationIsUsed()
    {
        mesh.announce(NEXT_BORN, 1);
        mesh.advance(Millis(3000));
        EXPECT_TRUE(mesh.isUsed(NEXT_BORN));
    }

    tests::DepartureMesh mesh;
};

}

TEST_F(DeparturesOutliveAllProcesses, AfterADeregistration)
{
    ASSERT_TRUE(mesh.departAcknowledged(BORN));
    mesh.restartEverything();
    expectUnused(Millis(12000));
    expectNextIncarnationIsUsed();
}

TEST_F(DeparturesOutliveAllProcesses, AfterADrainingAnnouncement)
{
    mesh.announce(BORN, 6, TargetState::LEAVING);
    auto recorded = mesh.askRecorded();
    mesh.advance(Millis(1000));
    ASSERT_EQ(*recorded, std::optional(true));
    mesh.restartEverything();
    expectUnused(Millis(6000));
    mesh.announce(BORN, 7);
    mesh.advance(Millis(1000));
    EXPECT_TRUE(mesh.isUsed(BORN)) << "a later announcement takes the draining back";
}

TEST_F(DeparturesOutliveAllProcesses, AfterAPauseInWhichTheLogWasReplacedByASnapshot)
{
    ASSERT_TRUE(mesh.departAcknowledged(BORN));
    for (int i = 0; i < 60; ++i) {
        wire::Command command;
        command.kind = wire::CommandKind::SET_SERVICE;
        command.requestId = "r" + std::to_string(i);
        command.name = "desk";
        command.body = "v" + std::to_string(i);
        command.baseVersion = config::ANY_BASE_VERSION;
        auto result = std::make_shared<std::optional<wire::CommandResult>>();
        mesh.group().submit(mesh.leader(), command, result);
        mesh.advance(Millis(50));
        ASSERT_TRUE(result->has_value());
    }
    ASSERT_GT(mesh.group().core(mesh.leader()).replica().snapshot()->index, 1);
    mesh.restartEverything();
    expectUnused(Millis(6000));
}

TEST_F(DeparturesOutliveAllProcesses, AfterTheLeaderEndedBeforeItHadRecordedIt)
{
    int leader = mesh.leader();
    mesh.stopHost(leader);
    ASSERT_TRUE(mesh.departAcknowledged(BORN));
    mesh.group().restart(leader);
    mesh.restartEverything();
    expectUnused(Millis(6000));
}

TEST_F(DeparturesOutliveAllProcesses, SeveralTimesInARow)
{
    ASSERT_TRUE(mesh.departAcknowledged(BORN));
    for (int i = 0; i < 3; ++i) {
        mesh.restartEverything();
        expectUnused(Millis(2000));
    }
    EXPECT_TRUE(mesh.departAcknowledged(BORN)) << "a repeated deregistration is acknowledged again";
}

// A restarted host may lack the newest entries, and a node that takes its directory for all of it would open the gate.
TEST_F(DeparturesOutliveAllProcesses, AtAHostThatHasNotHeardTheLeaderYet)
{
    ASSERT_TRUE(mesh.departAcknowledged(BORN));
    mesh.advance(Millis(500));
    mesh.restartEverything();
    int behind = 0;
    mesh.group().setCut([&](int from, int to) { return from == behind || to == behind; });
    mesh.limitNode(0, behind);
    expectUnused(Millis(6000));
    mesh.group().setCut({});
    mesh.group().reconnect();
    mesh.limitNode(0, std::nullopt);
    expectUnused(Millis(6000));
    expectNextIncarnationIsUsed();
}

TEST_F(DeparturesOutliveAllProcesses, AndAreNotAcknowledgedWhileNoMajorityRecordsThem)
{
    mesh.stopHost(0);
    mesh.stopHost(1);
    mesh.advance(Millis(500));
    EXPECT_FALSE(mesh.departAcknowledged(BORN));
    EXPECT_FALSE(mesh.isUsed(BORN)) << "it is out of use at once all the same";
    mesh.group().restart(0);
    mesh.group().restart(1);
    mesh.advance(Millis(2000));
    EXPECT_TRUE(mesh.departAcknowledged(BORN));
    mesh.restartEverything();
    expectUnused(Millis(4000));
}

// A host that has not heard of a partition yet still admits subscribers, although it lacks the newest departures.
TEST(DeparturesOfTargets, AreNotMissedAtAHostThatLagsBehindTheLeader)
{
    tests::DepartureMesh mesh(1);
    mesh.advance(Millis(3000));
    int leader = mesh.leader();
    mesh.limitNode(0, leader);
    mesh.advance(Millis(2000));
    mesh.announce(BORN, 5);
    mesh.advance(Millis(500));
    ASSERT_TRUE(mesh.isUsed(BORN));
    int behind = (leader + 1) % tests::DepartureMesh::HOSTS;
    mesh.group().setCut([&](int from, int to) { return from == behind || to == behind; });
    ASSERT_TRUE(mesh.departAcknowledged(BORN));
    mesh.limitNode(0, behind);
    mesh.restartNode(0);
    bool wasAdmitted = false;
    for (int i = 0; i < 200; ++i) {
        mesh.announce(BORN, 4);
        mesh.advance(Millis(10));
        wasAdmitted |= mesh.isAdmitted(0);
        ASSERT_FALSE(mesh.isUsed(BORN)) << i;
    }
    EXPECT_TRUE(wasAdmitted);
    mesh.group().setCut({});
    mesh.group().reconnect();
    for (int i = 0; i < 30; ++i) {
        mesh.announce(BORN, 4);
        mesh.advance(Millis(100));
        ASSERT_FALSE(mesh.isUsed(BORN)) << i;
    }
    mesh.announce(NEXT_BORN, 1);
    mesh.advance(Millis(3000));
    EXPECT_TRUE(mesh.isUsed(NEXT_BORN));
}

TEST(DeparturesOfTargets, AreKeptForTenMinutesAndBounded)
{
    config::ConfigMachine machine;
    auto record = [&](int n, int64_t timeMs) {
        wire::Command command;
        command.kind = wire::CommandKind::RECORD_DEPARTURES;
        command.timeMs = timeMs;
        std::vector<wire::Departure> departures(1);
        departures[0].target = "i-" + std::to_string(n);
        departures[0].incarnation = 1;
        departures[0].noticeSequence = nodes::FINAL_NOTICE;
        command.__set_departures(departures);
        EXPECT_EQ(machine.apply(n + 1, command).code, wire::ResultCode::ACCEPTED);
    };
    record(0, 1000);
    record(1, 601000);
    EXPECT_EQ(machine.departures().size(), 2U);
    record(2, 601001);
    EXPECT_FALSE(machine.departures().count("i-0"));
    for (int i = 3; i < 5000; ++i)
        record(i, 602000 + i);
    EXPECT_EQ(machine.departures().size(), 4096U);
    EXPECT_TRUE(machine.departures().count("i-4999"));
    EXPECT_EQ(machine.state().version(), 0) << "the configuration has not changed";
    EXPECT_TRUE(machine.audit().empty()) << "nobody has ordered anything";
}
