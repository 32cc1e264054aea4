// Simulated moves: the state machine refuses stale and duplicate events, the candidate's traffic never exceeds the
// granted share, good versions complete on time, bad ones are rolled back, and an outage of both versions is not
// attributed to the candidate.

#include "benchmarks/MoveModel.h"
#include "pomelowind/callers/VersionSplitter.h"
#include "pomelowind/moves/MoveMachine.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using bench::MoveModel;
using bench::Scenario;
using bench::VersionFault;

namespace {

Scenario scenarioWith(VersionFault fault)
{
    Scenario out;
    out.callsPerSecond = 500;
    out.targets = 8;
    out.deadlineMs = 40000;
    out.fault = fault;
    return out;
}

}

TEST(MovesFollowEvidence, DuplicateAndStaleEventsChangeNothing)
{
    wire::MoveRecord move;
    wire::MoveEvent raise;
    raise.step = 1;
    raise.kind = wire::MoveEventKind::RAISE;
    raise.permille = 10;
    auto first = moves::applyMoveEvent(move, raise, 5);
    ASSERT_TRUE(first.accepted);
    EXPECT_EQ(first.next.state, wire::MoveState::RAISING);
    EXPECT_FALSE(moves::applyMoveEvent(first.next, raise, 6).accepted);
    raise.step = 2;
    raise.permille = 5;
    EXPECT_FALSE(moves::applyMoveEvent(first.next, raise, 6).accepted) << "a raise must not lower the share";
    raise.kind = wire::MoveEventKind::BAD;
    auto rolledBack = moves::applyMoveEvent(first.next, raise, 7);
    ASSERT_TRUE(rolledBack.accepted);
    EXPECT_EQ(rolledBack.next.permille, 0);
    raise.step = 3;
    raise.kind = wire::MoveEventKind::RAISE;
    EXPECT_FALSE(moves::applyMoveEvent(rolledBack.next, raise, 8).accepted) << "a move that was taken back is final";
}

TEST(MovesFollowEvidence, CandidateTrafficNeverExceedsTheGrantedShare)
{
    const auto now = base::Instant() + std::chrono::hours(1);
    wire::ServiceResource service;
    service.name = "s";
    service.stable = "v1";
    service.candidate = "v2";
    service.moveId = "m";
    service.grantMs = 30000;
    for (int32_t permille : { 1, 10, 333, 900 }) {
        callers::VersionSplitter splitter;
        service.permille = permille;
        int exposed = 0;
        for (int n = 1; n <= 5000; ++n) {
            exposed += splitter.choose(service, now, now) == "v2" ? 1 : 0;
            ASSERT_LE(exposed * 1000, n * permille);
        }
        EXPECT_EQ(splitter.choose(service, now - std::chrono::seconds(31), now), "v1") << "the grant has expired";
        splitter.suppress("m");
        for (int n = 0; n < 2000; ++n)
            ASSERT_EQ(splitter.choose(service, now, now), "v1");
    }
}

TEST(MovesFollowEvidence, GoodVersionsCompleteOnTime)
{
    for (uint64_t seed = 1; seed <= 300; ++seed) {
        auto result = MoveModel(scenarioWith(VersionFault::None), seed).runPlanned();
        ASSERT_TRUE(result.done && result.onTime) << "seed " << seed << " " << result.reason;
    }
}

TEST(MovesFollowEvidence, BadVersionsAreRolledBack)
{
    for (auto fault : { VersionFault::Fails, VersionFault::OneRoute, VersionFault::Slow, VersionFault::Late,
             VersionFault::OneAccount, VersionFault::Crashes }) {
        for (uint64_t seed = 1; seed <= 60; ++seed) {
            auto result = MoveModel(scenarioWith(fault), seed).runPlanned();
            ASSERT_TRUE(result.rolledBack) << "kind " << static_cast<int>(fault) << " seed " << seed;
        }
    }
}

TEST(MovesFollowEvidence, AnOutageOfBothVersionsIsNotAttributedToTheCandidate)
{
    int falseRollbacks = 0;
    std::string reasons;
    for (uint64_t seed = 1; seed <= 400; ++seed) {
        auto scenario = scenarioWith(VersionFault::None);
        scenario.dataCentreOutage = true;
        auto result = MoveModel(scenario, seed).runPlanned();
        falseRollbacks += result.rolledBack ? 1 : 0;
        if (result.rolledBack)
            reasons += "seed " + std::to_string(seed) + ": " + result.reason + "\n";
    }
    EXPECT_LT(falseRollbacks, 2) << "the stated bound is 1 in 200\n" << reasons;
}
