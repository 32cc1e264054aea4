// Guards against a move that no event can end, whatever is lost and when: it blocks each later move of its service
// (review/15). A move that ends as done has targets that serve, and a restart of the control hosts alone takes no good
// version back.

#include "control/MoveDriver.h"
#include "pomelowind/moves/MoveMachine.h"
#include "tests/support/Presences.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Millis;
using wire::CommandKind;
using wire::MoveState;

namespace {

constexpr int64_t START_MS = 1700000000000;
constexpr int64_t DURATION_MS = 12000;
constexpr Millis STEP(100);
constexpr Millis MAX_OVERRUN(20000); // after the deadline
constexpr Millis RELEARN_TIME(3000); // for nodes and targets to be known to a restarted control host
const base::Instant T0 = base::Instant() + std::chrono::hours(1);

enum class Loss { None, Candidates, AllNodes, Applications };

std::ostream& operator<<(std::ostream& out, Loss loss)
{
    constexpr const char* NAMES[] = { "None", "Candidates", "AllNodes", "Applications" };
    return out << NAMES[static_cast<int>(loss)];
}

// A move with an exposure bound, planned by a leader that learns of nodes and targets from reports.
class MoveUnderLoss {
public:
    explicit MoveUnderLoss(int exposurePermille)
    {
        wire::Command service;
        service.kind = CommandKind::SET_SERVICE;
        service.name = "s";
        service.body = "v1";
        apply(service);
        EXPECT_EQ(startMove("v2", exposurePermille).code, wire::ResultCode::ACCEPTED);
    }

    wire::CommandResult startMove(const std::string& version, int exposurePermille = 100)
    {
        wire::Command command;
        command.kind = CommandKind::START_MOVE;
        wire::MoveAsk ask;
        ask.serviceName = "s";
        ask.toVersion = version;
        ask.durationMs = DURATION_MS;
        ask.exposurePermille = exposurePermille;
        command.__set_move(ask);
        return apply(command);
    }

    // Runs until the move has ended, or until MAX_OVERRUN after its deadline. `restartAt`: all control hosts restart.
    const wire::MoveRecord& run(
        Loss loss, Millis lossAt, std::optional<Millis> restartAt = std::nullopt, Millis lossEndsAt = Millis::max())
    {
        for (m_time = Millis(0); m_time < Millis(DURATION_MS) + MAX_OVERRUN && !moves::isFinished(move());
             m_time += STEP) {
            if (restartAt && m_time == *restartAt)
                restart();
            report(m_time >= lossAt && m_time < lossEndsAt ? loss : Loss::None);
            plan();
        }
        return move();
    }

    const wire::MoveRecord& move() const { return m_machine.moves().front(); }

private:
    wire::CommandResult apply(wire::Command command)
    {
        command.timeMs = START_MS + m_time.count();
        command.baseVersion = config::ANY_BASE_VERSION;
        return m_machine.apply(++m_index, command);
    }

    void restart()
    {
        m_driver = control::MoveDriver();
        m_directory = nodes::Directory();
        m_acks = nodes::AckTable();
        m_reportsFrom = m_time + RELEARN_TIME;
    }

    void report(Loss loss)
    {
        if (m_time < m_reportsFrom)
            return;
        std::vector<wire::NodeAck> acks;
        for (int i = 0; i < 4; ++i) {
            auto target = tests::target("t" + std::to_string(i), "east");
            bool isCandidate = i >= 2;
            target.version = isCandidate ? "v2" : "v1";
            wire::NodeInfo node;
            node.node = target.node;
            node.dataCentre = "east";
            node.incarnation = 1;
            node.sequence = m_time.count();
            bool isLost = loss == Loss::AllNodes || (loss == Loss::Candidates && isCandidate);
            node.gone = isLost;
            if (isLost && !m_directory.findNode(node.node))
                continue;
            m_directory.merge({ node }, { target }, now());
            wire::NodeAck ack;
            ack.node = node.node;
            // A node that cannot apply a configuration goes on acknowledging its last one.
            ack.version = loss == Loss::Applications && i == 0 ? 1 : m_machine.state().version();
            if (!isLost)
                acks.push_back(ack);
        }
        m_acks.merge(acks, now());
    }

    void plan()
    {
        m_driver.closeEvidenceBatches(context());
        for (const auto& event : m_driver.plan(context())) {
            wire::Command command;
            command.kind = CommandKind::MOVE_EVENT;
            command.__set_moveEvent(event);
            auto result = apply(command);
            EXPECT_EQ(result.code, wire::ResultCode::ACCEPTED) << result.message;
        }
    }

    control::MoveContext context() const
    {
        return { m_machine, m_directory, m_acks, now(), START_MS + m_time.count() };
    }
    base::Instant now() const { return T0 + m_time; }

    Millis m_time { 0 };
    Millis m_reportsFrom { 0 };
    int64_t m_index { 0 };
    config::ConfigMachine m_machine;
    nodes::Directory m_directory;
    nodes::AckTable m_acks;
    control::MoveDriver m_driver;
};

class MovesAlwaysEnd : public testing::TestWithParam<Loss> { };

void expectEndAndNext(MoveUnderLoss& sim, const wire::MoveRecord& move)
{
    ASSERT_TRUE(moves::isFinished(move)) << moves::moveStateName(move.state);
    EXPECT_EQ(sim.startMove("v3").code, wire::ResultCode::ACCEPTED);
}

}

TEST_P(MovesAlwaysEnd, WheneverTheLossHappens)
{
    for (Millis at(0); at <= Millis(DURATION_MS) + Millis(2000); at += STEP) {
        SCOPED_TRACE(std::to_string(at.count()) + " ms");
        MoveUnderLoss sim(100);
        auto move = sim.run(GetParam(), at);
        expectEndAndNext(sim, move);
        if (move.state == MoveState::DONE && GetParam() != Loss::Applications)
            EXPECT_LE(move.endedMs - START_MS, at.count()) << "it is done although no target serves";
        if (HasFatalFailure() || HasNonfatalFailure())
            return;
    }
}

TEST_P(MovesAlwaysEnd, AlsoWhenTheControlHostsRestart)
{
    for (Millis at(0); at <= Millis(DURATION_MS); at += Millis(500)) {
        for (Millis restartAt(0); restartAt <= Millis(DURATION_MS) + Millis(4000); restartAt += Millis(500)) {
            SCOPED_TRACE(std::to_string(at.count()) + " ms, restart at " + std::to_string(restartAt.count()));
            MoveUnderLoss sim(100);
            auto move = sim.run(GetParam(), at, restartAt);
            expectEndAndNext(sim, move);
            if (HasFatalFailure() || HasNonfatalFailure())
                return;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Losses, MovesAlwaysEnd, testing::Values(Loss::Candidates, Loss::AllNodes, Loss::Applications));

TEST(MovesOfGoodVersions, AreDoneAlthoughTheControlHostsRestart)
{
    for (Millis at(0); at <= Millis(DURATION_MS); at += STEP) {
        SCOPED_TRACE(std::to_string(at.count()) + " ms");
        MoveUnderLoss sim(100);
        auto move = sim.run(Loss::None, Millis(0), at);
        ASSERT_EQ(move.state, MoveState::DONE) << move.reason;
    }
}

TEST(MovesOfGoodVersions, AreDoneAlthoughTheirFirstTargetComesLate)
{
    for (Millis at(0); at <= Millis(DURATION_MS) + Millis(5000); at += STEP) {
        SCOPED_TRACE(std::to_string(at.count()) + " ms");
        MoveUnderLoss sim(100);
        auto move = sim.run(Loss::Candidates, Millis(0), std::nullopt, at);
        ASSERT_EQ(move.state, MoveState::DONE) << move.reason;
    }
}

TEST(MovesOfGoodVersions, AreDoneAlthoughTheirTargetsAreAwayForAWhile)
{
    for (Millis at(0); at <= Millis(DURATION_MS); at += STEP) {
        SCOPED_TRACE(std::to_string(at.count()) + " ms");
        MoveUnderLoss sim(100);
        auto move = sim.run(Loss::Candidates, at, std::nullopt, at + Millis(5000));
        ASSERT_EQ(move.state, MoveState::DONE) << move.reason;
    }
}

// The first step of the ramp was below the share of a large exposure bound, and was refused again and again.
TEST(MovesOfGoodVersions, AreDoneWithEveryExposureBound)
{
    for (int permille : { 1, 100, 399, 400, 401, 700, 999, 1000, 2000 }) {
        SCOPED_TRACE(permille);
        MoveUnderLoss sim(permille);
        auto move = sim.run(Loss::None, Millis(0));
        ASSERT_EQ(move.state, MoveState::DONE) << move.reason;
        EXPECT_LT(move.endedMs - START_MS, DURATION_MS);
    }
}
