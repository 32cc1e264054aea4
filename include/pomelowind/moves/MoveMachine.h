// The life of one move as a state machine. Each transition is an entry of the replicated log: control hosts apply the
// same events in the same order, so a new leader goes on where the old one stood.
//
//     Planned --RAISE--> Raising --REACHED_ALL--> Watching --WATCH_ENDED--> Done
//        any of these but Done --BAD or ASKED_BACK--> TakenBack
#pragma once

#include "pomelowind/base/Wire.h"

#include <string>

namespace pomelowind::moves {

// Share of the traffic that stays on the old version until the move is done, as a control group for the evidence.
constexpr int32_t CONTROL_GROUP_PERMILLE = 100;
constexpr int32_t FULL_PERMILLE = 1000;
constexpr int32_t TOP_PERMILLE = FULL_PERMILLE - CONTROL_GROUP_PERMILLE;

// The move after an event, or why the event was refused.
struct MoveTransition {
    bool accepted { false };
    wire::MoveRecord next;
    std::string refusal;
};

// Applies `event` at `timeMs` to `record`. An event is accepted only for the step that follows the record's, so a
// repeated or late event changes nothing. Thread safety: pure.
MoveTransition advance(const wire::MoveRecord& record, const wire::MoveEvent& event, int64_t timeMs);

// The event that follows the record's present step. Thread safety: pure.
wire::MoveEvent nextEvent(const wire::MoveRecord& record, wire::MoveEventKind::type kind, const std::string& reason);

// True when no event can change the move any more. Thread safety: pure.
bool isOver(const wire::MoveRecord& record);

// Name of a state as operators see it, for example "taken back".
const char* moveStateName(wire::MoveState::type state);

} // namespace pomelowind::moves
