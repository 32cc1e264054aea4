// Simulates moves with an exposure bound in virtual time, with the real planner, state machine and evidence aggregator.
// A bad version receives at most its share of the calls, and none soon after enough bad answers have come back. This
// also holds while targets of the old version fail and across leader changes.

#include "pomelowind/base/Random.h"
#include "pomelowind/moves/EvidenceAggregator.h"
#include "pomelowind/moves/MoveMachine.h"
#include "pomelowind/moves/MovePlanner.h"

#include <cmath>
#include <gtest/gtest.h>

using namespace pomelowind;

namespace {

// The bounds promised to users.
constexpr double EXPOSURE_SHARE = 0.1;
constexpr int64_t EXPOSURE_SLACK = 50;
constexpr int64_t MIN_BAD_ANSWERS = 50;
constexpr int64_t MAX_ROLLBACK_MS = 5000;

constexpr int64_t TICK_MS = 10;
constexpr int64_t BATCH_MS = 250;
constexpr int ROUTES = 3;
const std::vector<std::string> DATA_CENTRES = { "east", "west", "south" };

enum class Fault { None, Errors, OneRoute, UnderLoad, Late, Slow };

struct Scenario {
    Fault fault { Fault::None };
    double callsPerSecond { 300 };
    int64_t durationMs { 16000 };
    int64_t targetsFromMs { 1000 };
    int64_t badFromMs { 0 }; // for Late
    int32_t badFromPermille { 0 }; // for UnderLoad
    int64_t stableOutageFromMs { 0 }; // start of an outage of the old version's targets
    int64_t stableOutageToMs { 0 };
    double stableOutageFailureRate { 0 };
    int64_t leaderLostAtMs { -1 };
    int64_t leaderBackAtMs { -1 };
    bool isEvidenceLostWithLeader { false };
};

struct MoveOutcome {
    int64_t calls { 0 };
    int64_t exposed { 0 };
    int64_t badAnswers { 0 };
    int64_t enoughBadAnswersAtMs { -1 };
    int64_t lastExposedMs { -1 };
    wire::MoveRecord move;
};

Scenario drawScenario(base::Random& random, Fault fault)
{
    Scenario out;
    out.fault = fault;
    out.callsPerSecond = 60 + 600 * random.uniformReal();
    out.durationMs = 12000 + static_cast<int64_t>(random.uniformBelow(6000));
    out.targetsFromMs = 300 + static_cast<int64_t>(random.uniformBelow(2500));
    out.badFromMs = 2000 + static_cast<int64_t>(random.uniformBelow(5000));
    out.badFromPermille = random.bernoulli(0.5) ? 200 : 500;
    if (random.bernoulli(0.6)) {
        out.stableOutageFromMs = static_cast<int64_t>(random.uniformBelow(6000));
        out.stableOutageToMs = out.stableOutageFromMs + 2000 + static_cast<int64_t>(random.uniformBelow(6000));
        out.stableOutageFailureRate = 0.1 + 0.5 * random.uniformReal();
    }
    if (random.bernoulli(0.5)) {
        out.leaderLostAtMs = static_cast<int64_t>(random.uniformBelow(static_cast<uint64_t>(out.durationMs)));
        out.leaderBackAtMs = out.leaderLostAtMs + 300 + static_cast<int64_t>(random.uniformBelow(700));
        out.isEvidenceLostWithLeader = random.bernoulli(0.3);
    }
    return out;
}

class MoveSimulation {
public:
    MoveSimulation(const Scenario& scenario, uint64_t seed)
        : m_scenario(scenario)
        , m_random(seed)
        , m_aggregator(std::make_unique<moves::EvidenceAggregator>("v2", "v1"))
    {
        auto& move = m_outcome.move;
        move.id = "m";
        move.serviceName = "s";
        move.fromVersion = "v1";
        move.toVersion = "v2";
        move.deadlineMs = scenario.durationMs;
        move.exposurePermille = static_cast<int32_t>(EXPOSURE_SHARE * 1000);
    }

    MoveOutcome run()
    {
        // Continues past the deadline, because a bad version that was not stopped in time is noticed only then.
        for (int64_t now = 0; now < m_scenario.durationMs + MAX_ROLLBACK_MS; now += TICK_MS) {
            sendCalls(now);
            deliver(now);
            if (now == m_scenario.leaderLostAtMs / TICK_MS * TICK_MS && m_scenario.isEvidenceLostWithLeader)
                m_aggregator = std::make_unique<moves::EvidenceAggregator>("v2", "v1");
            if (now % BATCH_MS == 0)
                m_aggregator->closeBatch();
            if (now < m_scenario.leaderLostAtMs || now >= m_scenario.leaderBackAtMs)
                plan(now);
        }
        return m_outcome;
    }

private:
    bool isBad(int64_t now, int route)
    {
        switch (m_scenario.fault) {
        case Fault::None:
        case Fault::Slow:
            return false;
        case Fault::Errors:
            return m_random.bernoulli(0.5);
        case Fault::OneRoute:
            return route == 0 && m_random.bernoulli(0.5);
        case Fault::UnderLoad:
            return m_outcome.move.permille >= m_scenario.badFromPermille && m_random.bernoulli(0.5);
        case Fault::Late:
            return now >= m_scenario.badFromMs && m_random.bernoulli(0.5);
        }
        return false;
    }

    void sendCalls(int64_t now)
    {
        m_callCredit += m_scenario.callsPerSecond * static_cast<double>(TICK_MS) / 1000;
        for (; m_callCredit >= 1; m_callCredit -= 1)
            sendCall(now);
    }

    void sendCall(int64_t now)
    {
        auto& move = m_outcome.move;
        bool isBeforeDeadline = now < m_scenario.durationMs;
        m_outcome.calls += isBeforeDeadline;
        m_exposureCredit += move.state == wire::MoveState::TAKEN_BACK ? 0 : move.permille;
        bool isCandidate = m_exposureCredit >= 1000;
        if (isCandidate)
            m_exposureCredit -= 1000;
        auto route = static_cast<int>(m_random.uniformBelow(ROUTES));
        double serviceMs = 120
            * std::exp(0.5 * (m_random.uniformReal() + m_random.uniformReal() + m_random.uniformReal() - 1.5) * 2);
        bool failed = false;
        if (isCandidate) {
            m_outcome.exposed += isBeforeDeadline;
            m_outcome.lastExposedMs = now;
            failed = isBad(now, route) || m_random.bernoulli(0.004);
            serviceMs *= m_scenario.fault == Fault::Slow ? 8 : 1;
            bool isBadAnswer = m_scenario.fault == Fault::Slow || (m_scenario.fault != Fault::None && failed);
            if (isBadAnswer && ++m_outcome.badAnswers == MIN_BAD_ANSWERS)
                m_outcome.enoughBadAnswersAtMs = now + static_cast<int64_t>(serviceMs);
        } else {
            bool isOutage = now >= m_scenario.stableOutageFromMs && now < m_scenario.stableOutageToMs;
            failed = m_random.bernoulli(isOutage ? m_scenario.stableOutageFailureRate : 0.004);
        }
        wire::EvidenceCell cell;
        cell.serviceName = "s";
        cell.version = isCandidate ? "v2" : "v1";
        cell.dimension = wire::EvidenceDimension::ROUTE;
        cell.value = "r" + std::to_string(route);
        cell.dataCentre = DATA_CENTRES[m_random.uniformBelow(DATA_CENTRES.size())];
        cell.calls = 1;
        cell.failures = failed;
        if (!failed)
            cell.latency[moves::latencyBucket(static_cast<int64_t>(serviceMs * 1000))] = 1;
        // Delay from the end of the call to the leader: the node's report period and the hop through a follower.
        auto dueMs = now + static_cast<int64_t>(failed ? 20 : serviceMs) + 150
            + static_cast<int64_t>(m_random.uniformBelow(250));
        m_pendingReports.emplace(dueMs, cell);
    }

    void deliver(int64_t now)
    {
        std::vector<wire::EvidenceCell> cells;
        while (!m_pendingReports.empty() && m_pendingReports.begin()->first <= now) {
            cells.push_back(m_pendingReports.begin()->second);
            m_pendingReports.erase(m_pendingReports.begin());
        }
        m_aggregator->add(cells);
    }

    void plan(int64_t now)
    {
        auto& move = m_outcome.move;
        if (moves::isFinished(move))
            return;
        moves::MovePlannerInput input;
        input.wallMs = now;
        input.reachableNodes = 16;
        input.isShareApplied = now - move.stepMs >= 150;
        input.candidateTargets = now >= m_scenario.targetsFromMs ? 4 : 0;
        input.evidence = m_aggregator->summary();
        if (auto event = moves::planMove(move, input)) {
            auto transition = moves::applyMoveEvent(move, *event, now);
            ASSERT_TRUE(transition.accepted) << transition.refusal;
            move = transition.next;
        }
    }

    Scenario m_scenario;
    base::Random m_random;
    std::unique_ptr<moves::EvidenceAggregator> m_aggregator;
    std::multimap<int64_t, wire::EvidenceCell> m_pendingReports;
    double m_callCredit { 0 };
    int64_t m_exposureCredit { 0 };
    MoveOutcome m_outcome;
};

int countViolations(Fault fault, uint64_t firstSeed, int seeds)
{
    int violations = 0;
    for (uint64_t seed = firstSeed; seed < firstSeed + static_cast<uint64_t>(seeds); ++seed) {
        base::Random random(seed);
        auto scenario = drawScenario(random, fault);
        auto outcome = MoveSimulation(scenario, seed).run();
        auto allowedCalls = static_cast<double>(outcome.calls) * EXPOSURE_SHARE + static_cast<double>(EXPOSURE_SLACK);
        bool exceedsBound = static_cast<double>(outcome.exposed) > allowedCalls;
        // The rollback time is promised only while there is a leader, so it is measured from the end of an election.
        int64_t measuredFromMs = std::max(outcome.enoughBadAnswersAtMs, scenario.leaderBackAtMs);
        bool isLate = outcome.enoughBadAnswersAtMs >= 0 && outcome.lastExposedMs > measuredFromMs + MAX_ROLLBACK_MS;
        if (!exceedsBound && !isLate)
            continue;
        ++violations;
        ADD_FAILURE() << "seed " << seed << ": " << outcome.exposed << " of " << outcome.calls << " calls, "
                      << outcome.badAnswers << " bad, enough bad answers at " << outcome.enoughBadAnswersAtMs
                      << ", last at " << outcome.lastExposedMs << ", state " << moves::moveStateName(outcome.move.state)
                      << " " << outcome.move.reason << " at " << outcome.move.endedMs << " of " << scenario.durationMs
                      << ", outage " << scenario.stableOutageFromMs << " to " << scenario.stableOutageToMs << " at "
                      << scenario.stableOutageFailureRate << ", leader lost at " << scenario.leaderLostAtMs
                      << (scenario.isEvidenceLostWithLeader ? " with its evidence" : "") << ", "
                      << scenario.callsPerSecond << " calls/s, bad from " << scenario.badFromPermille;
    }
    return violations;
}

}

TEST(BadVersionsStayWithinTheirBounds, VersionThatReturnsErrors)
{
    EXPECT_EQ(countViolations(Fault::Errors, 1000, 250), 0);
}

TEST(BadVersionsStayWithinTheirBounds, VersionThatFailsOnOneRoute)
{
    EXPECT_EQ(countViolations(Fault::OneRoute, 2000, 250), 0);
}

TEST(BadVersionsStayWithinTheirBounds, VersionThatFailsUnderLoad)
{
    EXPECT_EQ(countViolations(Fault::UnderLoad, 3000, 250), 0);
}

TEST(BadVersionsStayWithinTheirBounds, VersionThatTurnsBadLate)
{
    EXPECT_EQ(countViolations(Fault::Late, 4000, 250), 0);
}

TEST(BadVersionsStayWithinTheirBounds, VersionThatIsSlow) { EXPECT_EQ(countViolations(Fault::Slow, 5000, 250), 0); }

TEST(BadVersionsStayWithinTheirBounds, GoodVersionsCompleteOnTime)
{
    int late = 0;
    for (uint64_t seed = 6000; seed < 6250; ++seed) {
        base::Random random(seed);
        auto scenario = drawScenario(random, Fault::None);
        auto outcome = MoveSimulation(scenario, seed).run();
        late += outcome.move.state != wire::MoveState::DONE || outcome.move.endedMs > scenario.durationMs;
    }
    EXPECT_LE(late, 2) << "of 250";
}
