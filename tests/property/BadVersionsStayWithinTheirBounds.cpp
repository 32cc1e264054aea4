// Simulates moves with an exposure bound in virtual time, with the real planner, state machine and evidence book. A bad
// version receives at most its share of the calls, and none soon after enough bad answers have come back. This also
// holds while targets of the old version fail and across leader changes.

#include "pomelowind/base/Random.h"
#include "pomelowind/moves/EvidenceBook.h"
#include "pomelowind/moves/MoveMachine.h"
#include "pomelowind/moves/MovePlanner.h"

#include <cmath>
#include <gtest/gtest.h>

using namespace pomelowind;

namespace {

// The bounds promised to users.
constexpr double EXPOSURE_SHARE = 0.1;
constexpr int64_t EXPOSURE_SLACK = 50;
constexpr int64_t TELLING_BAD_ANSWERS = 50;
constexpr int64_t ROLL_BACK_MS = 5000;

constexpr int64_t TICK_MS = 10;
constexpr int64_t BATCH_MS = 250;
constexpr int ROUTES = 3;
const std::vector<std::string> CENTRES = { "east", "west", "south" };

enum class Kind { Good, Errors, OneRoute, UnderLoad, Late, Slow };

struct Schedule {
    Kind kind { Kind::Good };
    double callsPerSecond { 300 };
    int64_t durationMs { 16000 };
    int64_t targetsFromMs { 1000 };
    int64_t badFromMs { 0 }; // for Late
    int32_t badFromPermille { 0 }; // for UnderLoad
    int64_t dipFromMs { 0 }; // start of an outage of the old version's targets
    int64_t dipToMs { 0 };
    double dipRate { 0 };
    int64_t leaderLostAtMs { -1 };
    int64_t leaderBackAtMs { -1 };
    bool newLeaderKnowsNothing { false };
};

struct Course {
    int64_t calls { 0 };
    int64_t exposed { 0 };
    int64_t bad { 0 };
    int64_t tellingAtMs { -1 };
    int64_t lastExposedMs { -1 };
    wire::MoveRecord move;
};

Schedule draw(base::Random& random, Kind kind)
{
    Schedule out;
    out.kind = kind;
    out.callsPerSecond = 60 + 600 * random.unit();
    out.durationMs = 12000 + static_cast<int64_t>(random.below(6000));
    out.targetsFromMs = 300 + static_cast<int64_t>(random.below(2500));
    out.badFromMs = 2000 + static_cast<int64_t>(random.below(5000));
    out.badFromPermille = random.chance(0.5) ? 200 : 500;
    if (random.chance(0.6)) {
        out.dipFromMs = static_cast<int64_t>(random.below(6000));
        out.dipToMs = out.dipFromMs + 2000 + static_cast<int64_t>(random.below(6000));
        out.dipRate = 0.1 + 0.5 * random.unit();
    }
    if (random.chance(0.5)) {
        out.leaderLostAtMs = static_cast<int64_t>(random.below(static_cast<uint64_t>(out.durationMs)));
        out.leaderBackAtMs = out.leaderLostAtMs + 300 + static_cast<int64_t>(random.below(700));
        out.newLeaderKnowsNothing = random.chance(0.3);
    }
    return out;
}

class Play {
public:
    Play(const Schedule& schedule, uint64_t seed)
        : m_schedule(schedule)
        , m_random(seed)
        , m_book(std::make_unique<moves::EvidenceBook>("v2", "v1"))
    {
        auto& move = m_course.move;
        move.id = "m";
        move.serviceName = "s";
        move.fromVersion = "v1";
        move.toVersion = "v2";
        move.deadlineMs = schedule.durationMs;
        move.exposurePermille = static_cast<int32_t>(EXPOSURE_SHARE * 1000);
    }

    Course run()
    {
        // Continues past the deadline, because a bad version that was not stopped in time is noticed only then.
        for (int64_t now = 0; now < m_schedule.durationMs + ROLL_BACK_MS; now += TICK_MS) {
            sendCalls(now);
            deliver(now);
            if (now == m_schedule.leaderLostAtMs / TICK_MS * TICK_MS && m_schedule.newLeaderKnowsNothing)
                m_book = std::make_unique<moves::EvidenceBook>("v2", "v1");
            if (now % BATCH_MS == 0)
                m_book->closeBatch();
            if (now < m_schedule.leaderLostAtMs || now >= m_schedule.leaderBackAtMs)
                plan(now);
        }
        return m_course;
    }

private:
    bool isBad(int64_t now, int route)
    {
        switch (m_schedule.kind) {
        case Kind::Good:
        case Kind::Slow:
            return false;
        case Kind::Errors:
            return m_random.chance(0.5);
        case Kind::OneRoute:
            return route == 0 && m_random.chance(0.5);
        case Kind::UnderLoad:
            return m_course.move.permille >= m_schedule.badFromPermille && m_random.chance(0.5);
        case Kind::Late:
            return now >= m_schedule.badFromMs && m_random.chance(0.5);
        }
        return false;
    }

    void sendCalls(int64_t now)
    {
        m_credit += m_schedule.callsPerSecond * static_cast<double>(TICK_MS) / 1000;
        for (; m_credit >= 1; m_credit -= 1)
            sendCall(now);
    }

    void sendCall(int64_t now)
    {
        auto& move = m_course.move;
        bool counts = now < m_schedule.durationMs;
        m_course.calls += counts;
        m_exposureCredit += move.state == wire::MoveState::TAKEN_BACK ? 0 : move.permille;
        bool isCandidate = m_exposureCredit >= 1000;
        if (isCandidate)
            m_exposureCredit -= 1000;
        auto route = static_cast<int>(m_random.below(ROUTES));
        double runMs = 120 * std::exp(0.5 * (m_random.unit() + m_random.unit() + m_random.unit() - 1.5) * 2);
        bool failed = false;
        if (isCandidate) {
            m_course.exposed += counts;
            m_course.lastExposedMs = now;
            failed = isBad(now, route) || m_random.chance(0.004);
            runMs *= m_schedule.kind == Kind::Slow ? 8 : 1;
            bool isHarm = m_schedule.kind == Kind::Slow || (m_schedule.kind != Kind::Good && failed);
            if (isHarm && ++m_course.bad == TELLING_BAD_ANSWERS)
                m_course.tellingAtMs = now + static_cast<int64_t>(runMs);
        } else {
            bool dips = now >= m_schedule.dipFromMs && now < m_schedule.dipToMs;
            failed = m_random.chance(dips ? m_schedule.dipRate : 0.004);
        }
        wire::EvidenceCell cell;
        cell.serviceName = "s";
        cell.version = isCandidate ? "v2" : "v1";
        cell.dimension = wire::EvidenceDimension::ROUTE;
        cell.value = "r" + std::to_string(route);
        cell.dataCentre = CENTRES[m_random.below(CENTRES.size())];
        cell.calls = 1;
        cell.failures = failed;
        if (!failed)
            cell.latency[moves::latencyBucket(static_cast<int64_t>(runMs * 1000))] = 1;
        // Delay from the end of the call to the leader: the node's report period and the hop through a follower.
        auto due = now + static_cast<int64_t>(failed ? 20 : runMs) + 150 + static_cast<int64_t>(m_random.below(250));
        m_onTheWay.emplace(due, cell);
    }

    void deliver(int64_t now)
    {
        std::vector<wire::EvidenceCell> cells;
        while (!m_onTheWay.empty() && m_onTheWay.begin()->first <= now) {
            cells.push_back(m_onTheWay.begin()->second);
            m_onTheWay.erase(m_onTheWay.begin());
        }
        m_book->add(cells);
    }

    void plan(int64_t now)
    {
        auto& move = m_course.move;
        if (moves::isOver(move))
            return;
        moves::MoveView view;
        view.wallMs = now;
        view.nodes = 16;
        view.inForce = now - move.stepMs >= 150;
        view.candidateTargets = now >= m_schedule.targetsFromMs ? 4 : 0;
        view.evidence = m_book->summary();
        if (auto event = moves::planMove(move, view)) {
            auto next = moves::advance(move, *event, now);
            ASSERT_TRUE(next.accepted) << next.refusal;
            move = next.next;
        }
    }

    Schedule m_schedule;
    base::Random m_random;
    std::unique_ptr<moves::EvidenceBook> m_book;
    std::multimap<int64_t, wire::EvidenceCell> m_onTheWay;
    double m_credit { 0 };
    int64_t m_exposureCredit { 0 };
    Course m_course;
};

int countBroken(Kind kind, uint64_t firstSeed, int seeds)
{
    int broken = 0;
    for (uint64_t seed = firstSeed; seed < firstSeed + static_cast<uint64_t>(seeds); ++seed) {
        base::Random random(seed);
        auto schedule = draw(random, kind);
        auto course = Play(schedule, seed).run();
        auto allowed = static_cast<double>(course.calls) * EXPOSURE_SHARE + static_cast<double>(EXPOSURE_SLACK);
        bool isOver = static_cast<double>(course.exposed) > allowed;
        // The rollback time is promised only while there is a leader, so it is measured from the end of an election.
        int64_t from = std::max(course.tellingAtMs, schedule.leaderBackAtMs);
        bool isLate = course.tellingAtMs >= 0 && course.lastExposedMs > from + ROLL_BACK_MS;
        if (!isOver && !isLate)
            continue;
        ++broken;
        ADD_FAILURE() << "seed " << seed << ": " << course.exposed << " of " << course.calls << " calls, " << course.bad
                      << " bad, telling at " << course.tellingAtMs << ", last at " << course.lastExposedMs << ", state "
                      << moves::moveStateName(course.move.state) << " " << course.move.reason << " at "
                      << course.move.endedMs << " of " << schedule.durationMs << ", dip " << schedule.dipFromMs
                      << " to " << schedule.dipToMs << " at " << schedule.dipRate << ", leader lost at "
                      << schedule.leaderLostAtMs << (schedule.newLeaderKnowsNothing ? " with its evidence" : "") << ", "
                      << schedule.callsPerSecond << " calls/s, bad from " << schedule.badFromPermille;
    }
    return broken;
}

}

TEST(BadVersionsStayWithinTheirBounds, Errors) { EXPECT_EQ(countBroken(Kind::Errors, 1000, 250), 0); }

TEST(BadVersionsStayWithinTheirBounds, OneRoute) { EXPECT_EQ(countBroken(Kind::OneRoute, 2000, 250), 0); }

TEST(BadVersionsStayWithinTheirBounds, UnderLoad) { EXPECT_EQ(countBroken(Kind::UnderLoad, 3000, 250), 0); }

TEST(BadVersionsStayWithinTheirBounds, Late) { EXPECT_EQ(countBroken(Kind::Late, 4000, 250), 0); }

TEST(BadVersionsStayWithinTheirBounds, Slow) { EXPECT_EQ(countBroken(Kind::Slow, 5000, 250), 0); }

TEST(BadVersionsStayWithinTheirBounds, GoodVersionsArriveInTime)
{
    int late = 0;
    for (uint64_t seed = 6000; seed < 6250; ++seed) {
        base::Random random(seed);
        auto schedule = draw(random, Kind::Good);
        auto course = Play(schedule, seed).run();
        late += course.move.state != wire::MoveState::DONE || course.move.endedMs > schedule.durationMs;
    }
    EXPECT_LE(late, 2) << "of 250";
}
