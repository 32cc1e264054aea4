// Drives moves, the gradual rollouts of a service version. Every control host collects the evidence on active moves, so
// that a new leader can continue; the leader proposes their next events.
#pragma once

#include "pomelowind/base/Time.h"
#include "pomelowind/config/ConfigMachine.h"
#include "pomelowind/moves/EvidenceAggregator.h"
#include "pomelowind/moves/MovePlanner.h"
#include "pomelowind/nodes/AckTable.h"
#include "pomelowind/nodes/Directory.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pomelowind::control {

// The state that the driver needs to plan the next event of a move.
struct MoveContext {
    const config::ConfigMachine& machine;
    const nodes::Directory& directory;
    const nodes::AckTable& acks;
    base::Instant now;
    int64_t wallMs;
};

// Collects evidence and plans move events. Thread safety: confined to the decision thread.
class MoveDriver {
public:
    // Add reports of nodes to the active moves that they concern; reports on other services and moves are ignored.
    void addEvidence(const std::vector<wire::EvidenceCell>& cells, const config::ConfigMachine& machine);
    void addAlarms(const std::vector<wire::Alarm>& alarms);
    // Closes the current batch of evidence for the sequential tests and updates the call rates. To be called at a fixed
    // period on every control host.
    void closeEvidenceBatches(const MoveContext& context);
    // Returns the events to propose now. To be called on the leader only.
    std::vector<wire::MoveEvent> plan(const MoveContext& context);
    // Returns the evidence on a move so far, for operators; an empty summary when there is none.
    moves::EvidenceSummary evidence(const std::string& moveId) const;

private:
    // What this host knows of a move besides its record in the log.
    struct TrackedMove {
        std::unique_ptr<moves::EvidenceAggregator> aggregator;
        std::map<std::string, wire::Alarm> alarms; // by node
        int32_t step { -1 };
        int64_t callsAtStep { 0 }; // candidate calls when the step began
        int64_t lastCalls { 0 }; // calls to both versions at lastBatch
        double callsPerSecond { 0 }; // smoothed, both versions
        base::Instant lastBatch;
        int maxStableSlotsSeen { 0 }; // highest capacity of the stable version during the move
        // Since when this host has planned the move at its present step, and when it last knew of a target of the
        // candidate. A host that begins to lead knows neither, and counts from then on.
        base::Instant plannedAt;
        base::Instant progressAt;
        base::Instant candidateSeenAt;
        int32_t plannedStep { -1 };
    };

    TrackedMove& track(const wire::MoveRecord& move);
    static void trackProgress(TrackedMove& tracked, int32_t step, bool hasCandidate, base::Instant now);
    moves::MovePlannerInput makePlannerInput(
        const wire::MoveRecord& move, TrackedMove& tracked, const MoveContext& context) const;

    std::map<std::string, TrackedMove> m_trackedMoves;
};

} // namespace pomelowind::control
