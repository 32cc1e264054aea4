#include "pomelowind/moves/ExposurePlanner.h"

#include "pomelowind/moves/MoveMachine.h"

#include <algorithm>
#include <array>

namespace pomelowind::moves {

namespace {

    using wire::MoveEventKind;
    using wire::MoveState;

    // Part of the exposure bound that the probing phase may use up; the rest is for the steps, in which a version that
    // fails only under load shows it.
    constexpr double PROBE_PART = 0.5;
    // The steps need about 2.5 s and the last calls on the old version another; the rest covers a change of leader. The
    // later the steps begin, the longer a version has to show that it turns bad with time.
    constexpr int64_t FINISH_MS = 5500;
    // A short move spends at least this part of its time probing.
    constexpr double LEAST_PROBE_PART = 0.4;

    // Evidence that is not enough to take a move back, but too much to expose more calls.
    constexpr double SUSPICIOUS = 4.0;
    // A move that is still suspicious this long before its deadline is taken back: late is better than bad.
    constexpr int64_t LAST_CALL_MS = 1000;
    // A version that fails this part of its calls is not proved, even if the old version fails as often at the time.
    constexpr double FAILING_PART = 0.1;
    // An unproved version that has had this part of its bound is taken back: calls that are on their way and the
    // reports of their end need the rest.
    constexpr double MOST_UNPROVED_PART = 0.7;
    // Evidence of the last step comes in for this long after it was in force everywhere: a call, and the way of a
    // report.
    constexpr int64_t LAST_WATCH_MS = 600;

    struct Step {
        int32_t permille;
        int64_t dwellMs; // until slow calls have ended and their evidence has come in
    };
    constexpr std::array<Step, 3> STEPS { { { 200, 1200 }, { 500, 700 }, { TOP_PERMILLE, 500 } } };

    bool isProved(const EvidenceSummary& evidence)
    {
        const auto& worst = evidence.recentWorst;
        bool isFailing
            = worst.faults > 0 && static_cast<double>(worst.faults) >= FAILING_PART * static_cast<double>(worst.calls);
        return evidence.logEvidence <= SUSPICIOUS && !isFailing;
    }

    bool isBoundNear(const wire::MoveRecord& move, const EvidenceSummary& evidence)
    {
        auto had = static_cast<double>(evidence.candidate.calls);
        auto all = static_cast<double>(evidence.candidate.calls + evidence.stable.calls);
        return had * FULL_PERMILLE > MOST_UNPROVED_PART * move.exposurePermille * all;
    }

    int64_t finishFromMs(const wire::MoveRecord& move)
    {
        auto total = static_cast<double>(move.deadlineMs - move.startedMs);
        return std::max(move.deadlineMs - FINISH_MS, move.startedMs + static_cast<int64_t>(total * LEAST_PROBE_PART));
    }

    int32_t probePermille(const wire::MoveRecord& move)
    {
        return std::max(1, static_cast<int32_t>(move.exposurePermille * PROBE_PART));
    }

    std::optional<wire::MoveEvent> raiseTo(
        const wire::MoveRecord& move, const MoveView& view, int32_t permille, const char* reason)
    {
        if (!view.candidateTargets)
            return std::nullopt;
        auto event = nextEvent(move, MoveEventKind::RAISE, reason);
        event.permille = permille;
        event.slotsNeeded = view.stableSlotsAtStart;
        return event;
    }

    std::optional<wire::MoveEvent> planStep(const wire::MoveRecord& move, const MoveView& view)
    {
        if (move.permille == probePermille(move)) {
            if (view.wallMs < finishFromMs(move))
                return std::nullopt;
            return raiseTo(move, view, STEPS.front().permille, "probing showed no fault");
        }
        auto present
            = std::find_if(STEPS.begin(), STEPS.end(), [&](const Step& it) { return it.permille >= move.permille; });
        bool passed = view.inForce && view.wallMs - move.stepMs >= present->dwellMs;
        if (!passed)
            return std::nullopt;
        if (move.permille >= TOP_PERMILLE)
            return nextEvent(move, MoveEventKind::REACHED_ALL, "all traffic but the control group has moved");
        return raiseTo(move, view, std::next(present)->permille, "the step showed no fault");
    }

}

std::optional<wire::MoveEvent> planBoundedMove(const wire::MoveRecord& move, const MoveView& view)
{
    if (!isProved(view.evidence)) {
        if (view.wallMs >= move.deadlineMs - LAST_CALL_MS)
            return nextEvent(move, MoveEventKind::BAD, "evidence against the version was left at the deadline");
        if (move.permille > probePermille(move) && isBoundNear(move, view.evidence))
            return nextEvent(move, MoveEventKind::BAD, "it may get no more calls and is not proved");
        return std::nullopt;
    }
    switch (move.state) {
    case MoveState::PLANNED:
        return raiseTo(move, view, probePermille(move), "probing");
    case MoveState::RAISING:
        return planStep(move, view);
    case MoveState::WATCHING:
        if (view.wallMs - move.reachedMs < LAST_WATCH_MS)
            return std::nullopt;
        return nextEvent(move, MoveEventKind::WATCH_ENDED, "no evidence against the version in any step");
    default:
        return std::nullopt;
    }
}

} // namespace pomelowind::moves
