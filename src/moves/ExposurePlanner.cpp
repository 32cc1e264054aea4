#include "pomelowind/moves/ExposurePlanner.h"

#include "pomelowind/moves/MoveMachine.h"

#include <algorithm>
#include <array>

namespace pomelowind::moves {

namespace {

    using wire::MoveEventKind;
    using wire::MoveState;

    // Share of the exposure bound used while probing. The rest is kept for the ramp, where a version that fails only
    // under load is detected.
    constexpr double PROBE_EXPOSURE_RATIO = 0.5;
    // The ramp begins this long before the deadline. Its steps take about 2.5 s and the last calls on the old version
    // another 2.5 s; the rest covers a leader change. A late ramp leaves more time to detect a version that turns bad
    // with time.
    constexpr int64_t RAMP_MS = 5500;
    // A short move spends at least this share of its time probing.
    constexpr double MIN_PROBE_TIME_RATIO = 0.4;

    // The share is not raised while the logarithm of the evidence that the candidate is worse, from the sequential
    // comparison with the stable version, exceeds this, although such evidence is too weak to roll the move back.
    constexpr double MAX_PROVEN_LOG_EVIDENCE = 4.0;
    // A move whose version is still unproven this long before the deadline is rolled back, because missing the deadline
    // is preferable to releasing a bad version.
    constexpr int64_t FINAL_DECISION_MS = 1000;
    // A version with at least this ratio of failed calls on a route is unproven, even if the old version fails as
    // often.
    constexpr double MIN_FAILING_RATIO = 0.1;
    // An unproven version that has used this share of its exposure bound during the ramp is rolled back. The rest is
    // reserved for calls in flight and for calls whose results have not been reported yet.
    constexpr double MAX_UNPROVEN_EXPOSURE_RATIO = 0.7;
    // Time to wait for evidence after every node has applied the last step: the duration of a call plus the delay of
    // its report.
    constexpr int64_t FINAL_WATCH_MS = 600;

    // Targets of the candidate without which a move is rolled back at the deadline have been unknown for this long.
    // After a restart of all hosts, targets have announced themselves again well within it.
    constexpr int64_t TARGETS_LOST_MS = 6000;
    // A move that makes no step for this long after its deadline is rolled back. Nodes that have been lost count as
    // reachable for a part of it.
    constexpr int64_t MAX_STALL_MS = 10000;

    struct Step {
        int32_t permille;
        int64_t dwellMs; // minimum duration of the step, long enough for slow calls to end and to be reported
    };
    constexpr std::array<Step, 3> RAMP_STEPS { { { 200, 1200 }, { 500, 700 }, { MAX_CANDIDATE_PERMILLE, 500 } } };

    bool isProven(const EvidenceSummary& evidence)
    {
        const auto& worst = evidence.worstRecentRoute;
        bool isFailing = worst.faults > 0
            && static_cast<double>(worst.faults) >= MIN_FAILING_RATIO * static_cast<double>(worst.calls);
        return evidence.logEvidence <= MAX_PROVEN_LOG_EVIDENCE && !isFailing;
    }

    bool isNearExposureBound(const wire::MoveRecord& move, const EvidenceSummary& evidence)
    {
        auto candidateCalls = static_cast<double>(evidence.candidate.calls);
        auto totalCalls = static_cast<double>(evidence.candidate.calls + evidence.stable.calls);
        return candidateCalls * FULL_PERMILLE > MAX_UNPROVEN_EXPOSURE_RATIO * move.exposurePermille * totalCalls;
    }

    int64_t rampStartMs(const wire::MoveRecord& move)
    {
        auto totalMs = static_cast<double>(move.deadlineMs - move.startedMs);
        return std::max(
            move.deadlineMs - RAMP_MS, move.startedMs + static_cast<int64_t>(totalMs * MIN_PROBE_TIME_RATIO));
    }

    int32_t probePermille(const wire::MoveRecord& move)
    {
        auto permille = static_cast<int32_t>(move.exposurePermille * PROBE_EXPOSURE_RATIO);
        return std::clamp(permille, 1, MAX_CANDIDATE_PERMILLE - 1);
    }

    std::optional<wire::MoveEvent> raiseTo(
        const wire::MoveRecord& move, const MovePlannerInput& input, int32_t permille, const char* reason)
    {
        if (!input.candidateTargets)
            return std::nullopt;
        auto event = makeNextEvent(move, MoveEventKind::RAISE, reason);
        event.permille = permille;
        event.slotsNeeded = input.maxStableSlotsSeen;
        return event;
    }

    std::optional<wire::MoveEvent> planStep(const wire::MoveRecord& move, const MovePlannerInput& input)
    {
        if (move.permille == probePermille(move)) {
            if (input.wallMs < rampStartMs(move))
                return std::nullopt;
            // A large exposure bound lets the probing share reach the first steps of the ramp.
            auto first = std::find_if(
                RAMP_STEPS.begin(), RAMP_STEPS.end(), [&](const Step& it) { return it.permille > move.permille; });
            return raiseTo(move, input, first->permille, "probing showed no fault");
        }
        auto current = std::find_if(
            RAMP_STEPS.begin(), RAMP_STEPS.end(), [&](const Step& it) { return it.permille >= move.permille; });
        bool isComplete = input.isShareApplied && input.wallMs - move.stepMs >= current->dwellMs;
        if (!isComplete)
            return std::nullopt;
        if (move.permille >= MAX_CANDIDATE_PERMILLE && !input.candidateTargets)
            return std::nullopt;
        if (move.permille >= MAX_CANDIDATE_PERMILLE)
            return makeNextEvent(move, MoveEventKind::REACHED_ALL, "all traffic but the control group has moved");
        return raiseTo(move, input, std::next(current)->permille, "the step showed no fault");
    }

    // Returns the event that ends a move which cannot be completed any more. Operators of such moves wait for the end
    // and have no other way to it, and no other move of the service can start before.
    std::optional<wire::MoveEvent> endIfImpossible(const wire::MoveRecord& move, const MovePlannerInput& input)
    {
        auto lost = [&] {
            return makeNextEvent(move, MoveEventKind::BAD, "no target of version " + move.toVersion + " serves");
        };
        // Before the first step, the move may still wait for targets that are being started.
        bool hasStarted = move.state != MoveState::PLANNED;
        bool isLost = hasStarted && !input.candidateTargets && input.candidateAbsentMs >= TARGETS_LOST_MS;
        if (isLost && input.wallMs >= move.deadlineMs - FINAL_DECISION_MS)
            return lost();
        if (std::min(input.stalledMs, input.wallMs - move.deadlineMs) < MAX_STALL_MS)
            return std::nullopt;
        if (!input.candidateTargets)
            return lost();
        return makeNextEvent(move, MoveEventKind::BAD,
            "no step was possible after the deadline: the share is not in force on every reachable node");
    }

}

std::optional<wire::MoveEvent> planBoundedMove(const wire::MoveRecord& move, const MovePlannerInput& input)
{
    if (!isProven(input.evidence)) {
        if (input.wallMs >= move.deadlineMs - FINAL_DECISION_MS)
            return makeNextEvent(move, MoveEventKind::BAD, "evidence against the version was left at the deadline");
        if (move.permille > probePermille(move) && isNearExposureBound(move, input.evidence))
            return makeNextEvent(move, MoveEventKind::BAD, "it may get no more calls and is not proved");
        return std::nullopt;
    }
    if (auto end = endIfImpossible(move, input))
        return end;
    switch (move.state) {
    case MoveState::PLANNED:
        return raiseTo(move, input, probePermille(move), "probing");
    case MoveState::RAISING:
        return planStep(move, input);
    case MoveState::WATCHING:
        if (input.wallMs - move.reachedMs < FINAL_WATCH_MS || !input.candidateTargets)
            return std::nullopt;
        return makeNextEvent(move, MoveEventKind::WATCH_ENDED, "no evidence against the version in any step");
    default:
        return std::nullopt;
    }
}

} // namespace pomelowind::moves
