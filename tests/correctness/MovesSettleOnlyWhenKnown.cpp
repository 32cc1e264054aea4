// Guards against a control host that calls a move settled right after its start, when no node has reported itself yet:
// the operator stops the targets of the abandoned version, to which nodes may still send calls.

#include "control/Views.h"
#include "tests/support/SingleControlHost.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace pomelowind;
using base::Millis;
using wire::CommandKind;
using wire::MoveEventKind;

namespace {

constexpr int64_t AFTER_MS = 5000; // time of day since the end of the move

class MovesSettleOnlyWhenKnown : public testing::Test {
protected:
    MovesSettleOnlyWhenKnown()
    {
        wire::Command service;
        service.kind = CommandKind::SET_SERVICE;
        service.name = "s";
        service.body = "v1";
        submit(service);
        wire::Command move;
        move.kind = CommandKind::START_MOVE;
        wire::MoveAsk ask;
        ask.id = "m";
        ask.serviceName = "s";
        ask.toVersion = "v2";
        ask.durationMs = 12000;
        ask.exposurePermille = 100;
        move.__set_move(ask);
        submit(move);
        step(1, MoveEventKind::RAISE, 900);
        step(2, MoveEventKind::REACHED_ALL, 0);
        step(3, MoveEventKind::WATCH_ENDED, 0);
    }

    void submit(wire::Command command)
    {
        command.baseVersion = config::ANY_BASE_VERSION;
        auto result = host.submit(command);
        ASSERT_EQ(result.code, wire::ResultCode::ACCEPTED) << result.message;
    }

    void step(int32_t number, MoveEventKind::type kind, int32_t permille)
    {
        wire::Command command;
        command.kind = CommandKind::MOVE_EVENT;
        wire::MoveEvent event;
        event.moveId = "m";
        event.step = number;
        event.kind = kind;
        event.permille = permille;
        command.__set_moveEvent(event);
        submit(command);
    }

    bool isSettled()
    {
        host.core->tick(host.now, tests::SingleControlHost::WALL_MS + AFTER_MS);
        auto view = control::renderView(*host.core, operators::View::ServiceMove, "s", 0);
        return nlohmann::json::parse(view.json).at("settled").get<bool>();
    }

    tests::SingleControlHost host;
};

}

TEST_F(MovesSettleOnlyWhenKnown, NotBeforeNodesHadTimeToReportThemselves)
{
    EXPECT_FALSE(isSettled());
    host.now += Millis(7000);
    EXPECT_TRUE(isSettled());
}
