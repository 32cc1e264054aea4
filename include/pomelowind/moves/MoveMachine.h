// The state machine of a move, which is the gradual rollout of a candidate version of one service. Each event is an
// entry of the replicated log. All control hosts apply the same events in the same order, so a new leader continues
// where the previous one stopped.
//
//     Planned --RAISE--> Raising --REACHED_ALL--> Watching --WATCH_ENDED--> Done
//     Raising --PAUSE--> Paused --RESUME--> Raising
//     any state but Done and TakenBack --BAD or ASKED_BACK--> TakenBack (rolled back)
//     any state but Done and TakenBack --LATE--> the same state, marked late
#pragma once

#include "pomelowind/base/Wire.h"

#include <string>

namespace pomelowind::moves {

// Traffic share that stays on the stable version until the move is done, as a control group for the sequential tests.
constexpr int32_t CONTROL_GROUP_PERMILLE = 100;
constexpr int32_t FULL_PERMILLE = 1000;
// Highest traffic share of the candidate before the move is done.
constexpr int32_t MAX_CANDIDATE_PERMILLE = FULL_PERMILLE - CONTROL_GROUP_PERMILLE;

// The result of applying an event: the next record, or the unchanged record and the reason for the refusal.
struct MoveTransition {
    bool accepted { false };
    wire::MoveRecord next;
    std::string refusal;
};

// Applies `event` at `timeMs` to `record`. Only an event for the step after the record's current one is accepted, so a
// duplicate or stale event changes nothing. Thread safety: pure.
MoveTransition applyMoveEvent(const wire::MoveRecord& record, const wire::MoveEvent& event, int64_t timeMs);

// Builds an event for the step after the record's current one. Thread safety: pure.
wire::MoveEvent makeNextEvent(
    const wire::MoveRecord& record, wire::MoveEventKind::type kind, const std::string& reason);

// Returns true when the move is in a final state, which no event can change. Thread safety: pure.
bool isFinished(const wire::MoveRecord& record);

// Returns the name of a state as shown to operators, for example "taken back". Thread safety: pure.
const char* moveStateName(wire::MoveState::type state);

} // namespace pomelowind::moves
