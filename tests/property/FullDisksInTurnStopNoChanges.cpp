// Disks that are full for some seconds each, one after another, on leader, followers and learners: changes go on while
// a majority can write, and long after the last disk has room again each host accepts them and serves reads at once.

#include "tests/support/ControlGroupSim.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Millis;
using wire::ResultCode;

namespace {

constexpr int SEEDS = 9; // some seconds; 24 were run by hand
constexpr auto ACK_TIME = Millis(4000); // ack_ms of the deployments
constexpr auto SETTLE_TIME = Millis(3000); // contact_window_ms
constexpr auto OPERATOR_PATIENCE = Millis(1000); // after which an operator sends an order to another host

// An operator that sends one change after the other, each again, at any host, until it is answered.
class Operator {
public:
    Operator(tests::ControlGroupSim& sim, base::Random& random)
        : m_sim(sim)
        , m_random(random)
    {
    }

    void advance(Millis time)
    {
        for (auto end = m_sim.now() + time; m_sim.now() < end && m_sim.failure().empty(); m_sim.advance(Millis(50)))
            handleAnswer();
    }

    int accepted() const { return m_accepted; }
    Millis waited() const { return std::chrono::duration_cast<Millis>(m_sim.now() - m_startedAt); }
    Millis longestWait() const { return m_longestWait; }
    void forgetWaits()
    {
        m_longestWait = Millis(0);
        m_startedAt = m_sim.now();
    }

private:
    void handleAnswer()
    {
        bool isAnswered = m_result && m_result->has_value();
        if (isAnswered && (*m_result)->code == ResultCode::ACCEPTED) {
            ++m_accepted;
            m_longestWait = std::max(m_longestWait, waited());
            m_startedAt = m_sim.now();
            ++m_change;
            m_result.reset();
        } else if (isAnswered) {
            EXPECT_TRUE((*m_result)->code == ResultCode::UNAVAILABLE || (*m_result)->code == ResultCode::BUSY)
                << (*m_result)->message;
            m_result.reset();
        }
        if (m_result && m_sim.now() - m_sentAt < OPERATOR_PATIENCE)
            return;
        wire::Command command;
        command.kind = wire::CommandKind::SET_SERVICE;
        command.name = "desk";
        command.body = "v" + std::to_string(m_change);
        command.requestId = "change-" + std::to_string(m_change);
        command.baseVersion = -1;
        m_result = std::make_shared<std::optional<wire::CommandResult>>();
        m_sentAt = m_sim.now();
        m_sim.submit(static_cast<int>(m_random.uniformBelow(static_cast<uint64_t>(m_sim.size()))), command, m_result);
    }

    tests::ControlGroupSim& m_sim;
    base::Random& m_random;
    std::shared_ptr<std::optional<wire::CommandResult>> m_result;
    base::Instant m_sentAt;
    base::Instant m_startedAt = m_sim.now();
    Millis m_longestWait { 0 };
    int m_change { 1 };
    int m_accepted { 0 };
};

void expectAllServe(tests::ControlGroupSim& sim)
{
    for (int i = 0; i < sim.size(); ++i) {
        auto current = std::make_shared<std::optional<bool>>();
        sim.read(i, current);
        sim.advance(Millis(1000));
        EXPECT_TRUE(current->has_value() && **current) << "host " << i << " serves no read";
    }
    for (int i = 0; i < sim.size(); ++i) {
        EXPECT_EQ(sim.core(i).machine().state().version(), sim.core(0).machine().state().version()) << i;
        EXPECT_FALSE(sim.core(i).replica().isRecovering()) << i;
    }
}

// Runs one sequence of full disks. `restarts`: processes also end while their disk is full.
void run(int hosts, uint64_t seed, Millis longest, bool restarts)
{
    SCOPED_TRACE("hosts " + std::to_string(hosts) + " seed " + std::to_string(seed));
    base::Random random(seed);
    tests::ControlGroupSim sim(hosts, seed);
    Operator operators(sim, random);
    operators.advance(Millis(5000));
    EXPECT_GT(operators.accepted(), 5);
    int target = std::max(0, sim.leader());
    for (int i = 0; i < 6 && sim.failure().empty(); ++i) {
        int before = operators.accepted();
        sim.disk(target).setRefusal(random.bernoulli(0.7) ? 1 : 0.7);
        auto full = Millis(500 + static_cast<int64_t>(random.uniformBelow(static_cast<uint64_t>(longest.count()))));
        operators.advance(full);
        sim.disk(target).setRefusal(0);
        if (restarts && random.bernoulli(0.4))
            sim.restart(target);
        if (full > ACK_TIME && hosts > 2) {
            EXPECT_GT(operators.accepted(), before) << "none while one disk of " << hosts << " is full";
        }
        operators.advance(Millis(static_cast<int64_t>(random.uniformBelow(5000))));
        // The leader, the next host, or any.
        target = random.bernoulli(0.3) && sim.leader() >= 0
            ? sim.leader()
            : static_cast<int>(random.uniformBelow(static_cast<uint64_t>(hosts)));
    }
    ASSERT_EQ(sim.failure(), "");
    operators.advance(SETTLE_TIME);
    operators.forgetWaits();
    int before = operators.accepted();
    operators.advance(Millis(60000));
    EXPECT_GT(operators.accepted(), before + 100);
    EXPECT_LT(operators.longestWait(), ACK_TIME);
    EXPECT_LT(operators.waited(), ACK_TIME);
    expectAllServe(sim);
    EXPECT_EQ(sim.failure(), "");
}

}

TEST(FullDisksInTurnStopNoChanges, OfThreeFourAndFiveHosts)
{
    for (uint64_t seed = 1; seed <= SEEDS && !testing::Test::HasFailure(); ++seed)
        run(3 + static_cast<int>(seed % 3), seed, Millis(6000), false);
}

TEST(FullDisksInTurnStopNoChanges, WithRestartsOfTheirHosts)
{
    for (uint64_t seed = 1; seed <= SEEDS && !testing::Test::HasFailure(); ++seed)
        run(3 + static_cast<int>(seed % 3), seed, Millis(6000), true);
}

TEST(FullDisksInTurnStopNoChanges, WhenTheyAreFullForMinutes)
{
    for (uint64_t seed = 1; seed <= 1 && !testing::Test::HasFailure(); ++seed)
        run(4, seed, Millis(400000), false);
}
