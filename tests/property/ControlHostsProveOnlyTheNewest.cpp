// Every proof that a control host gives to a node covers all versions that were acknowledged before it starts. Guards
// against an old leader, a follower that is behind, and a new leader that has not committed in its term.

#include "tests/support/ControlGroupSim.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Instant;
using base::Millis;
using links::FrameKind;

namespace {

constexpr uint64_t SEEDS = 6;
constexpr auto RUN_TIME = Millis(20000);
constexpr auto STEP = Millis(20);
constexpr auto OPERATOR_PATIENCE = Millis(1000);

struct Acknowledgement {
    Instant at;
    int64_t version;
};

class ProvingGroup {
public:
    explicit ProvingGroup(uint64_t seed)
        : m_sim(3, seed)
        , m_random(seed)
    {
        m_sim.setCut([this](int from, int to) { return from == m_cutHost || to == m_cutHost; });
        m_sim.setNodeSink([this](int, const std::string&, links::Kind kind, const std::string& payload) {
            if (kind == FrameKind::FRESHNESS_ANSWER)
                check(base::decode<wire::FreshnessAnswer>(payload));
        });
    }

    void run()
    {
        for (auto end = m_sim.now() + RUN_TIME; m_sim.now() < end; m_sim.advance(STEP)) {
            fail();
            submit();
            for (int i = 0; i < m_sim.size(); ++i) {
                wire::FreshnessRequest request;
                request.sentAt = base::toMillis(m_sim.now().time_since_epoch());
                if (m_sim.isRunning(i) && m_random.bernoulli(0.2))
                    m_sim.deliver(i, "n" + std::to_string(i), FrameKind::FRESHNESS_REQUEST, base::encode(request));
            }
        }
        EXPECT_EQ(m_sim.failure(), "");
    }

    int proofs { 0 };
    int fresh { 0 }; // of them, younger than the period of followers and some round trips
    size_t acknowledged() const { return m_acknowledged.size(); }

private:
    void fail()
    {
        if (m_random.bernoulli(0.01))
            m_cutHost = static_cast<int>(m_random.uniformBelow(4)) - 1;
        if (m_random.bernoulli(0.004))
            m_sim.restart(static_cast<int>(m_random.uniformBelow(3)));
    }

    void submit()
    {
        if (m_result && m_result->has_value() && (*m_result)->code == wire::ResultCode::ACCEPTED)
            m_acknowledged.push_back({ m_sim.now(), (*m_result)->version });
        if (m_result && !m_result->has_value() && m_sim.now() - m_sentAt < OPERATOR_PATIENCE)
            return;
        wire::Command command;
        command.kind = wire::CommandKind::SET_SERVICE;
        command.name = "desk";
        command.body = "v" + std::to_string(++m_change);
        command.requestId = command.body;
        command.baseVersion = -1;
        m_result = std::make_shared<std::optional<wire::CommandResult>>();
        m_sentAt = m_sim.now();
        m_sim.submit(static_cast<int>(m_random.uniformBelow(3)), command, m_result);
    }

    void check(const wire::FreshnessAnswer& answer)
    {
        if (answer.ageMs < 0)
            return;
        ++proofs;
        fresh += answer.ageMs < 500 ? 1 : 0;
        auto start = m_sim.now() - Millis(answer.ageMs);
        for (const auto& it : m_acknowledged) {
            if (it.at < start)
                ASSERT_GE(answer.version, it.version) << "age " << answer.ageMs;
        }
    }

    tests::ControlGroupSim m_sim;
    base::Random m_random;
    int m_cutHost { -1 };
    std::vector<Acknowledgement> m_acknowledged;
    std::shared_ptr<std::optional<wire::CommandResult>> m_result;
    Instant m_sentAt;
    int m_change { 0 };
};

}

TEST(ControlHostsProveOnlyTheNewest, WhileHostsAreCutOffAndRestarted)
{
    for (uint64_t seed = 1; seed <= SEEDS; ++seed) {
        SCOPED_TRACE(seed);
        ProvingGroup group(seed);
        group.run();
        EXPECT_GT(group.acknowledged(), 20u);
        EXPECT_GT(group.proofs, 500);
        EXPECT_GT(group.fresh * 2, group.proofs) << "in most of the time, most hosts have a recent proof";
    }
}

// A leader that was frozen handles what waited in its sockets before it learns that another host leads.
TEST(LeadersThatWakeUp, ProveNothingAboutTheTimeOfTheirFreeze)
{
    constexpr auto FREEZE = Millis(10000);
    constexpr auto LONGEST_LEASE = Millis(1000);
    tests::ControlGroupSim sim(3, 1);
    std::vector<wire::FreshnessAnswer> answers;
    sim.setNodeSink([&](int, const std::string&, links::Kind kind, const std::string& payload) {
        if (kind == FrameKind::FRESHNESS_ANSWER)
            answers.push_back(base::decode<wire::FreshnessAnswer>(payload));
    });
    sim.advance(Millis(5000));
    int leader = sim.leader();
    ASSERT_GE(leader, 0);
    auto payload = base::encode(wire::FreshnessRequest());
    sim.deliver(leader, "n0", FrameKind::FRESHNESS_REQUEST, payload);
    sim.core(leader).handleNodeFrame("n0", FrameKind::FRESHNESS_REQUEST, payload, sim.now() + FREEZE, 1);
    ASSERT_EQ(answers.size(), 2u);
    EXPECT_EQ(answers[0].ageMs, 0);
    EXPECT_GE(answers[1].ageMs, (FREEZE - LONGEST_LEASE).count());
}

// After a restart, committed entries are applied only when the new leader has committed in its term.
TEST(RestartedGroups, ProveNothingBeforeTheyKnowWhatWasAcknowledged)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        SCOPED_TRACE(seed);
        tests::ControlGroupSim sim(3, seed);
        sim.advance(Millis(5000));
        wire::Command command;
        command.kind = wire::CommandKind::SET_SERVICE;
        command.name = "desk";
        command.requestId = command.body = "v1";
        command.baseVersion = -1;
        auto result = std::make_shared<std::optional<wire::CommandResult>>();
        sim.submit(0, command, result);
        sim.advance(Millis(1000));
        ASSERT_TRUE(result->has_value() && (*result)->code == wire::ResultCode::ACCEPTED);
        int proofs = 0;
        sim.setNodeSink([&](int, const std::string&, links::Kind kind, const std::string& payload) {
            if (kind != FrameKind::FRESHNESS_ANSWER)
                return;
            auto answer = base::decode<wire::FreshnessAnswer>(payload);
            proofs += answer.ageMs >= 0 ? 1 : 0;
            EXPECT_TRUE(answer.ageMs < 0 || answer.version >= (*result)->version);
        });
        for (int i = 0; i < sim.size(); ++i)
            sim.restart(i);
        for (int step = 0; step < 3000; ++step, sim.advance(Millis(1))) {
            for (int i = 0; i < sim.size(); ++i)
                sim.deliver(i, "n0", FrameKind::FRESHNESS_REQUEST, base::encode(wire::FreshnessRequest()));
        }
        EXPECT_GT(proofs, 0);
    }
}
