// Guards against a move that raises the share of a candidate version whose targets are all evacuated.

#include "control/MoveDriver.h"
#include "tests/support/Presences.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Millis;
using wire::CommandKind;

namespace {

constexpr int64_t START_MS = 1700000000000;
const base::Instant T0 = base::Instant() + std::chrono::hours(1);

class EvacuatedCandidatesAreUnreachable : public testing::Test {
protected:
    EvacuatedCandidatesAreUnreachable()
    {
        wire::Command service;
        service.kind = CommandKind::SET_SERVICE;
        service.name = "s";
        service.body = "v1";
        apply(service);
        wire::Command move;
        move.kind = CommandKind::START_MOVE;
        wire::MoveAsk ask;
        ask.id = "m1";
        ask.serviceName = "s";
        ask.toVersion = "v2";
        ask.deadlineMs = START_MS + 120000;
        ask.watchMs = 5000;
        move.__set_move(ask);
        apply(move);
        auto candidate = tests::target("new", "east");
        candidate.version = "v2";
        std::vector<wire::NodeInfo> nodes;
        for (const auto& it : { candidate, tests::target("old", "west") }) {
            wire::NodeInfo node;
            node.node = it.node;
            node.dataCentre = it.dataCentre;
            node.incarnation = 1;
            nodes.push_back(node);
        }
        directory.merge(nodes, { candidate, tests::target("old", "west") }, T0);
    }

    void apply(wire::Command command)
    {
        command.timeMs = START_MS;
        command.baseVersion = config::ANY_BASE_VERSION;
        ASSERT_EQ(machine.apply(++index, command).code, wire::ResultCode::ACCEPTED);
    }

    void evacuate(const std::string& dataCentre)
    {
        wire::Command order;
        order.kind = CommandKind::START_EVACUATION;
        order.name = dataCentre;
        apply(order);
    }

    bool isRaised()
    {
        std::vector<wire::NodeAck> all;
        for (const auto& it : directory.liveNodes()) {
            wire::NodeAck ack;
            ack.node = it.node;
            ack.version = machine.state().version();
            all.push_back(ack);
        }
        acks.merge(all, T0);
        auto events = driver.plan({ machine, directory, acks, T0, START_MS + 2000 });
        return !events.empty() && events.front().kind == wire::MoveEventKind::RAISE;
    }

    config::ConfigMachine machine;
    nodes::Directory directory;
    nodes::AckTable acks;
    control::MoveDriver driver;
    int64_t index { 0 };
};

}

TEST_F(EvacuatedCandidatesAreUnreachable, MoveWaitsUntilACandidateIsReachable)
{
    evacuate("east");
    EXPECT_FALSE(isRaised());
}

TEST_F(EvacuatedCandidatesAreUnreachable, MoveBeginsWhenOthersAreEvacuated)
{
    evacuate("west");
    EXPECT_TRUE(isRaised()) << "the slots of the stable version count everywhere";
}
