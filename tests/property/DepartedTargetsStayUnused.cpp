// Random order of a target's own messages, some of them seconds late, and of restarts of its node, of the control hosts
// and of all processes at once: once a departure was acknowledged, no node uses that incarnation, and the next one is
// used.

#include "pomelowind/base/Random.h"
#include "tests/support/GossipSim.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Millis;
using wire::TargetState;

namespace {

constexpr int NODES = 3;
constexpr int SEEDS = 300;
constexpr auto RELEARN_TIME = Millis(3000); // contact_window_ms of the deployments

struct Message {
    base::Instant arrives;
    int64_t sequence { 0 }; // 0: the deregistration
    TargetState::type state { TargetState::SERVING };
};

// One life of a target: it announces itself, drains or not, deregisters and ends.
class Life {
public:
    Life(tests::GossipSim& sim, base::Random& random, int64_t born)
        : m_sim(sim)
        , m_random(random)
        , m_born(born)
    {
    }

    void run()
    {
        bool drains = m_random.uniformBelow(2);
        for (int i = 0; i < 4; ++i)
            sayAndWait(TargetState::SERVING);
        checkUsed();
        for (int i = 0; drains && i < 2; ++i)
            sayAndWait(TargetState::LEAVING);
        m_messages.push_back({ m_sim.now(), 0, TargetState::GONE });
        while (!m_messages.empty())
            pass(Millis(250));
        m_sim.advance(Millis(6000));
        EXPECT_TRUE(m_departed) << "the departure was repeated until it was acknowledged";
        checkUnused("long after");
    }

private:
    // Sends one announcement, which arrives up to 3 s late, and lets a heartbeat interval pass.
    void sayAndWait(TargetState::type state)
    {
        bool isLate = m_random.uniformBelow(3) == 0 && state == TargetState::SERVING;
        auto delay = Millis(isLate ? static_cast<int64_t>(m_random.uniformBelow(3000)) : 0);
        m_messages.push_back({ m_sim.now() + delay, ++m_sequence, state });
        for (int i = 0; i < 6; ++i)
            pass(Millis(250));
    }

    void pass(Millis time)
    {
        restartSomething();
        deliverDue();
        m_sim.advance(time);
        // A node that has just restarted, beside control hosts that have too, learns from the other nodes.
        if (m_sim.now() - m_restartedAt > RELEARN_TIME)
            checkUnused("after a message");
    }

    void restartSomething()
    {
        switch (m_random.uniformBelow(14)) {
        case 0:
            return restartNode();
        case 1:
            return m_sim.restartControlHost(static_cast<int>(m_random.uniformBelow(2)));
        case 2: // all of them at once; the other nodes remember
            restartNode();
            m_sim.restartControlHost(0);
            return m_sim.restartControlHost(1);
        case 3:
            return restartEverything();
        default:
            return;
        }
    }

    // What was announced but not acknowledged may be lost, and the target says it again.
    void restartEverything()
    {
        m_sim.restartEverything();
        m_restartedAt = m_sim.now();
        if (m_departed && !m_acknowledged) {
            m_departed = false;
            m_messages.push_back({ m_sim.now() + Millis(1000), 0, TargetState::GONE });
        }
    }

    void restartNode()
    {
        m_sim.restartNode(0);
        m_restartedAt = m_sim.now();
    }

    void deliverDue()
    {
        for (size_t i = 0; i < m_messages.size();) {
            if (m_messages[i].arrives > m_sim.now()) {
                ++i;
                continue;
            }
            auto message = m_messages[i];
            m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(i));
            deliver(message);
        }
    }

    void deliver(const Message& message)
    {
        if (!message.sequence) {
            m_sim.node(0).depart("i-1", m_born, m_sim.now());
            m_departed = true;
            return awaitRecord();
        }
        node::Announcement it;
        it.target = "i-1";
        it.serviceName = "desk";
        it.version = "v1";
        it.address = tests::GossipSim::TARGET_ADDRESS;
        it.slots = 6;
        it.incarnation = m_born;
        it.sequence = message.sequence;
        it.state = message.state;
        m_sim.node(0).announce(it, m_sim.now());
        m_departed |= message.state == TargetState::LEAVING;
        if (message.state == TargetState::LEAVING)
            awaitRecord();
    }

    void awaitRecord()
    {
        m_sim.node(0).whenRecorded(
            "i-1", [this](bool recorded) { m_acknowledged |= recorded; }, m_sim.now());
    }

    // An announcement that is not late makes the target used, whatever has restarted before.
    void checkUsed()
    {
        deliver({ m_sim.now(), ++m_sequence, TargetState::SERVING });
        m_sim.advance(RELEARN_TIME);
        EXPECT_TRUE(m_sim.isAdmitted("i-1", m_born));
        for (int i = 0; i < NODES; ++i)
            EXPECT_TRUE(m_sim.isUsed(i, "i-1", m_born)) << "node " << i;
    }

    void checkUnused(const char* when)
    {
        if (!m_departed)
            return;
        EXPECT_FALSE(m_sim.isAdmitted("i-1", m_born)) << when;
        for (int i = 0; i < NODES; ++i)
            EXPECT_FALSE(m_sim.isUsed(i, "i-1", m_born)) << when << ", node " << i;
    }

    tests::GossipSim& m_sim;
    base::Random& m_random;
    int64_t m_born;
    int64_t m_sequence { 0 };
    bool m_departed { false };
    bool m_acknowledged { false };
    base::Instant m_restartedAt;
    std::vector<Message> m_messages;
};

}

TEST(DepartedTargetsStayUnused, UnderRestartsAndLateMessages)
{
    for (uint64_t seed = 1; seed <= SEEDS; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        base::Random random(seed);
        tests::GossipSim sim(NODES);
        sim.advance(Millis(500));
        for (int life = 0; life < 2; ++life)
            Life(sim, random, tests::GossipSim::START_MS + life * 60000).run();
        if (HasFailure())
            return;
    }
}
