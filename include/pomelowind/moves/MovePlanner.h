// Decides the next event of a move from its record, the evidence, the capacity and the time left.
// Shares are planned backwards from the deadline: each step gets its part of the time that is left, so the move ends
// on time when nothing speaks against the new version, and exposes as little as that allows until then.
#pragma once

#include "pomelowind/base/Wire.h"
#include "pomelowind/moves/EvidenceBook.h"

#include <optional>
#include <string>

namespace pomelowind::moves {

// What the planner knows at one moment.
struct MoveView {
    int64_t wallMs { 0 };
    EvidenceSummary evidence;
    int64_t candidateCallsAtStep { 0 }; // candidate calls when the present step began
    double callsPerSecond { 0 }; // of the service, both versions
    int candidateTargets { 0 };
    int candidateSlots { 0 };
    int stableSlots { 0 };
    int stableSlotsAtStart { 0 };
    bool inForce { false }; // the present share runs on every reachable node
    int alarms { 0 }; // nodes that lowered their own share
    int nodes { 0 };
    std::string alarmReason;
    bool operator==(const MoveView&) const = default;
};

// A plan's answer for operators: when the move should end.
int64_t expectedEndMs(const wire::MoveRecord& move, int64_t nowMs);

// The event to propose now, or nothing. Thread safety: pure.
std::optional<wire::MoveEvent> planMove(const wire::MoveRecord& move, const MoveView& view);

// The share after `permille` for a service with this traffic. Thread safety: pure.
int32_t nextShare(int32_t permille, double callsPerSecond);

} // namespace pomelowind::moves
