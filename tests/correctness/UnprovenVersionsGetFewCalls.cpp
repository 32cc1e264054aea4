// Moves with an exposure bound: the candidate gets a small traffic share for most of the move and all traffic by the
// deadline, and an unproven or bad version stays within the bound.

#include "pomelowind/moves/ExposurePlanner.h"
#include "pomelowind/moves/MoveMachine.h"

#include <gtest/gtest.h>

using namespace pomelowind;

namespace {

constexpr int64_t DURATION_MS = 16000;

struct MoveOutcome {
    double exposure { 0 }; // candidate's share of the calls between the start of the move and the deadline
    int64_t endedMs { 0 };
    wire::MoveState::type state { wire::MoveState::PLANNED };
};

// Simulates a move with the evidence that `evidenceAt` returns for a time and a share.
template <class EvidenceAt> MoveOutcome simulate(EvidenceAt evidenceAt, int64_t targetsFromMs = 1000)
{
    wire::MoveRecord move;
    move.id = "m";
    move.toVersion = "v2";
    move.deadlineMs = DURATION_MS;
    move.exposurePermille = 100;
    MoveOutcome out;
    double exposed = 0;
    for (int64_t now = 0; now < DURATION_MS; now += 20) {
        moves::MovePlannerInput input;
        input.wallMs = now;
        input.isShareApplied = now - move.stepMs >= 100;
        input.candidateTargets = now >= targetsFromMs ? 4 : 0;
        input.evidence = evidenceAt(now, move.permille);
        exposed += 20 * move.permille / 1000.0;
        if (moves::isFinished(move))
            continue;
        if (auto event = moves::planMove(move, input)) {
            auto transition = moves::applyMoveEvent(move, *event, now);
            EXPECT_TRUE(transition.accepted) << transition.refusal;
            move = transition.next;
        }
    }
    out.exposure = exposed / DURATION_MS;
    out.endedMs = move.endedMs;
    out.state = move.state;
    return out;
}

moves::EvidenceSummary noEvidence(int64_t, int32_t) { return {}; }

}

TEST(UnprovenVersionsGetFewCalls, AGoodVersionCompletesWellBeforeTheDeadline)
{
    auto outcome = simulate(noEvidence);
    EXPECT_EQ(outcome.state, wire::MoveState::DONE);
    EXPECT_LT(outcome.endedMs, DURATION_MS - 2000) << "targets of the old version need time to finish their calls";
}

TEST(UnprovenVersionsGetFewCalls, AVersionThatTurnsBadInTheLastStepsStaysWithinItsBound)
{
    for (int32_t badFromPermille : { 200, 500 }) {
        int64_t badSinceMs = 0;
        auto outcome = simulate([&](int64_t now, int32_t permille) {
            moves::EvidenceSummary out;
            badSinceMs = permille >= badFromPermille && !badSinceMs ? now : badSinceMs;
            out.isBad = badSinceMs && now - badSinceMs > 700;
            return out;
        });
        EXPECT_EQ(outcome.state, wire::MoveState::TAKEN_BACK);
        EXPECT_LT(outcome.exposure, 0.1) << badFromPermille;
    }
}

// In a run with two leader failures, a version turned bad 4.4 s before the deadline, when the move was already done and
// could no longer be rolled back.
TEST(UnprovenVersionsGetFewCalls, AVersionThatTurnsBadShortlyBeforeTheDeadlineIsRolledBack)
{
    auto outcome = simulate([](int64_t now, int32_t permille) {
        moves::EvidenceSummary out;
        out.isBad = permille >= 200 && now > DURATION_MS - 4400 + 700;
        return out;
    });
    EXPECT_EQ(outcome.state, wire::MoveState::TAKEN_BACK);
    EXPECT_LT(outcome.exposure, 0.1);
}

TEST(UnprovenVersionsGetFewCalls, AnUnprovenVersionGetsNoHigherShareAndIsRolledBackAtTheDeadline)
{
    auto outcome = simulate([](int64_t now, int32_t) {
        moves::EvidenceSummary out;
        out.logEvidence = now > 4000 ? 5 : 0;
        return out;
    });
    EXPECT_EQ(outcome.state, wire::MoveState::TAKEN_BACK);
    EXPECT_LT(outcome.exposure, 0.06);
}
