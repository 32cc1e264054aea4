#include "pomelowind/moves/MovePlanner.h"

#include "pomelowind/moves/ExposurePlanner.h"
#include "pomelowind/moves/MoveMachine.h"

#include <algorithm>
#include <cmath>

namespace pomelowind::moves {

namespace {

    using wire::MoveEventKind;
    using wire::MoveState;

    constexpr int32_t MIN_FIRST_PERMILLE = 10;
    constexpr int32_t MAX_FIRST_PERMILLE = 250;
    // Call rate of the candidate in the first step, at which a failure ratio of 5 % is detected within 3 s. A smaller
    // step would not reduce the number of failed calls, because detection needs a certain number of faults.
    constexpr double FIRST_STEP_CALLS_PER_SECOND = 50;
    constexpr double DEFAULT_FIRST_PERMILLE = 50;
    constexpr double STEP_GROWTH_FACTOR = 2.5;
    // The comparison of two versions is most sensitive per call at an even split, so this step lasts longest.
    constexpr int32_t EVEN_SPLIT_PERMILLE = 500;
    constexpr double EVEN_SPLIT_DWELL_WEIGHT = 3;
    constexpr int64_t MIN_DWELL_MS = 700;
    constexpr int64_t END_MARGIN_MS = 1500;
    // Candidate calls in one step after which a failure ratio of 5 % would have been detected.
    constexpr int64_t EARLY_RAISE_CALLS = 600;
    // Below this share a step only has to rule out gross failures. Few calls are exposed there, but detecting a failure
    // ratio of a few percent would take tens of seconds.
    constexpr int32_t PROBING_PERMILLE = 100;
    constexpr int64_t PROBING_CALLS = 15;
    constexpr int64_t TARGETS_TIMEOUT_MS = 2000;
    constexpr double MIN_STABLE_CAPACITY_RATIO = 0.9;
    constexpr int MIN_ALARMS = 2;
    constexpr int NODES_PER_ALARM = 20;

    double dwellWeight(int32_t permille) { return permille == EVEN_SPLIT_PERMILLE ? EVEN_SPLIT_DWELL_WEIGHT : 1; }

    // Returns how long the current step may last so that all later steps fit before the deadline.
    int64_t plannedDwellMs(const wire::MoveRecord& move, const MovePlannerInput& input)
    {
        double laterWeight = 0;
        for (int32_t share = nextShare(move.permille, input.callsPerSecond); share < MAX_CANDIDATE_PERMILLE;
             share = nextShare(share, input.callsPerSecond))
            laterWeight += dwellWeight(share);
        int64_t rampEndMs = move.deadlineMs - move.watchMs - END_MARGIN_MS;
        auto remainingMs = static_cast<double>(std::max<int64_t>(0, rampEndMs - move.stepMs));
        double currentWeight = dwellWeight(move.permille);
        return std::max(
            MIN_DWELL_MS, static_cast<int64_t>(remainingMs * currentWeight / (currentWeight + laterWeight)));
    }

    // Returns the highest share that the concurrency slots announced by the candidate's targets can serve.
    int32_t capacityPermille(const MovePlannerInput& input)
    {
        if (input.maxStableSlotsSeen <= 0)
            return MAX_CANDIDATE_PERMILLE;
        int64_t permille = static_cast<int64_t>(FULL_PERMILLE) * input.candidateSlots / input.maxStableSlotsSeen;
        return static_cast<int32_t>(std::min<int64_t>(MAX_CANDIDATE_PERMILLE, permille));
    }

    bool isStableCapacityTooLow(const wire::MoveRecord& move, const MovePlannerInput& input)
    {
        double neededSlots
            = input.maxStableSlotsSeen * (FULL_PERMILLE - move.permille) / static_cast<double>(FULL_PERMILLE);
        return input.stableSlots < MIN_STABLE_CAPACITY_RATIO * neededSlots;
    }

    bool mayRaise(const wire::MoveRecord& move, const MovePlannerInput& input)
    {
        int64_t dwellMs = input.wallMs - move.stepMs;
        if (!input.isShareApplied || dwellMs < MIN_DWELL_MS)
            return false;
        bool hasEnoughCleanCalls = input.evidence.candidate.calls - input.candidateCallsAtStep >= EARLY_RAISE_CALLS
            && input.evidence.logEvidence < 1;
        return hasEnoughCleanCalls || dwellMs >= plannedDwellMs(move, input);
    }

    std::optional<wire::MoveEvent> lateEventIfDue(
        const wire::MoveRecord& move, const MovePlannerInput& input, const std::string& reason)
    {
        if (move.late || input.wallMs < move.deadlineMs - move.watchMs)
            return std::nullopt;
        return makeNextEvent(move, MoveEventKind::LATE, reason);
    }

    std::optional<wire::MoveEvent> raiseTo(const wire::MoveRecord& move, const MovePlannerInput& input, int32_t share)
    {
        int32_t maxShare = capacityPermille(input);
        if (std::min(share, maxShare) <= move.permille)
            return lateEventIfDue(move, input,
                "version " + move.toVersion + " announces " + std::to_string(input.candidateSlots) + " slots of "
                    + std::to_string(input.maxStableSlotsSeen) + " needed; start more of its targets");
        auto event = makeNextEvent(move, MoveEventKind::RAISE, "planned step");
        event.permille = std::min(share, maxShare);
        event.slotsNeeded = input.maxStableSlotsSeen;
        return event;
    }

    std::optional<wire::MoveEvent> planStart(const wire::MoveRecord& move, const MovePlannerInput& input)
    {
        if (!input.candidateTargets)
            return lateEventIfDue(
                move, input, "no target of version " + move.toVersion + " has announced itself; start its targets");
        bool isWaitingForTargets
            = input.candidateSlots < input.maxStableSlotsSeen && input.wallMs - move.startedMs < TARGETS_TIMEOUT_MS;
        if (isWaitingForTargets)
            return std::nullopt;
        return raiseTo(move, input, nextShare(0, input.callsPerSecond));
    }

    std::optional<wire::MoveEvent> planRaise(const wire::MoveRecord& move, const MovePlannerInput& input)
    {
        if (isStableCapacityTooLow(move, input))
            return makeNextEvent(move, MoveEventKind::PAUSE,
                "targets of version " + move.fromVersion + " leave before the move is done; keep them until then");
        if (move.permille == MAX_CANDIDATE_PERMILLE) {
            if (input.isShareApplied)
                return makeNextEvent(move, MoveEventKind::REACHED_ALL, "all traffic but the control group has moved");
            return lateEventIfDue(move, input, "not in force on every reachable node yet");
        }
        if (!mayRaise(move, input))
            return lateEventIfDue(move, input, "the share is not in force on every reachable node yet");
        return raiseTo(move, input, nextShare(move.permille, input.callsPerSecond));
    }

    std::optional<wire::MoveEvent> planResume(const wire::MoveRecord& move, const MovePlannerInput& input)
    {
        if (!isStableCapacityTooLow(move, input))
            return makeNextEvent(move, MoveEventKind::RESUME, "enough targets of both versions");
        return lateEventIfDue(move, input, move.reason);
    }

    std::optional<wire::MoveEvent> planWatch(const wire::MoveRecord& move, const MovePlannerInput& input)
    {
        if (!input.candidateTargets)
            return lateEventIfDue(move, input, "no target of version " + move.toVersion + " serves; start its targets");
        if (input.wallMs - move.reachedMs >= move.watchMs)
            return makeNextEvent(move, MoveEventKind::WATCH_ENDED, "no evidence against the version during the watch");
        return std::nullopt;
    }

}

int32_t nextShare(int32_t permille, double callsPerSecond)
{
    if (permille <= 0) {
        double share = callsPerSecond > 0 ? FULL_PERMILLE * FIRST_STEP_CALLS_PER_SECOND / callsPerSecond
                                          : DEFAULT_FIRST_PERMILLE;
        return std::clamp(static_cast<int32_t>(share), MIN_FIRST_PERMILLE, MAX_FIRST_PERMILLE);
    }
    if (permille >= EVEN_SPLIT_PERMILLE)
        return MAX_CANDIDATE_PERMILLE;
    return std::min(EVEN_SPLIT_PERMILLE, static_cast<int32_t>(std::ceil(permille * STEP_GROWTH_FACTOR)));
}

int64_t expectedEndMs(const wire::MoveRecord& move, int64_t nowMs)
{
    if (isFinished(move))
        return move.endedMs;
    if (move.state == MoveState::WATCHING)
        return move.reachedMs + move.watchMs;
    return std::max(nowMs, move.deadlineMs - END_MARGIN_MS);
}

std::optional<wire::MoveEvent> planMove(const wire::MoveRecord& move, const MovePlannerInput& input)
{
    if (isFinished(move))
        return std::nullopt;
    if (input.evidence.isBad)
        return makeNextEvent(move, MoveEventKind::BAD, input.evidence.reason);
    if (input.alarmedNodes >= std::max(MIN_ALARMS, input.reachableNodes / NODES_PER_ALARM))
        return makeNextEvent(
            move, MoveEventKind::BAD, "several nodes stopped using the version by themselves: " + input.alarmReason);
    if (move.exposurePermille > 0)
        return planBoundedMove(move, input);
    switch (move.state) {
    case MoveState::PLANNED:
        return planStart(move, input);
    case MoveState::RAISING:
        return planRaise(move, input);
    case MoveState::PAUSED:
        return planResume(move, input);
    case MoveState::WATCHING:
        return planWatch(move, input);
    default:
        return std::nullopt;
    }
}

} // namespace pomelowind::moves
