// Decides the next event of a move from its record, the evidence, the capacity of both versions and the remaining time.
// The leader of the control hosts calls it periodically and proposes the event to the replicated log.
//
// Steps are planned backwards from the deadline, and the remaining time is divided among the remaining steps. The move
// thus completes on time if the candidate is good, and keeps the candidate's traffic share as low as that permits.
#pragma once

#include "pomelowind/base/Wire.h"
#include "pomelowind/moves/EvidenceAggregator.h"

#include <optional>
#include <string>

namespace pomelowind::moves {

// The planner's input: the leader's view of one move at one moment.
struct MovePlannerInput {
    int64_t wallMs { 0 };
    EvidenceSummary evidence;
    int64_t candidateCallsAtStep { 0 }; // total candidate calls when the current step began
    double callsPerSecond { 0 }; // of the service, both versions
    int candidateTargets { 0 };
    int candidateSlots { 0 }; // concurrency slots announced by all targets of the candidate
    int64_t candidateAbsentMs { 0 }; // for how long the leader has known of no target of the candidate
    int64_t stalledMs { 0 }; // for how long the leader has planned the move without a further step
    int stableSlots { 0 };
    int maxStableSlotsSeen { 0 }; // highest number of slots of the stable version's targets since the move started
    bool isShareApplied { false }; // every reachable node has applied the current share
    int alarmedNodes { 0 }; // nodes that stopped using the candidate on their own evidence
    int reachableNodes { 0 };
    std::string alarmReason;
    bool operator==(const MovePlannerInput&) const = default;
};

// Returns the time at which the move is expected to end, or did end, for display to operators. Thread safety: pure.
int64_t expectedEndMs(const wire::MoveRecord& move, int64_t nowMs);

// Returns the event to propose now, or nothing. Thread safety: pure.
std::optional<wire::MoveEvent> planMove(const wire::MoveRecord& move, const MovePlannerInput& input);

// Returns the traffic share of the step after `permille`; 0 asks for the first step, whose size depends on the traffic.
// Thread safety: pure.
int32_t nextShare(int32_t permille, double callsPerSecond);

} // namespace pomelowind::moves
