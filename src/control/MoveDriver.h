// Keeps the evidence of all active moves on every control host, and proposes their next events on the leader.
#pragma once

#include "pomelowind/base/Time.h"
#include "pomelowind/config/ConfigMachine.h"
#include "pomelowind/moves/EvidenceBook.h"
#include "pomelowind/moves/MovePlanner.h"
#include "pomelowind/nodes/Acks.h"
#include "pomelowind/nodes/Directory.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pomelowind::control {

// What the driver reads to judge the present step of a move.
struct MoveWorld {
    const config::ConfigMachine& machine;
    const nodes::Directory& directory;
    const nodes::Acks& acks;
    base::Instant now;
    int64_t wallMs;
};

// Thread safety: confined to the decision duty.
class MoveDriver {
public:
    // Takes evidence that arrived from nodes.
    void addEvidence(const std::vector<wire::EvidenceCell>& cells, const config::ConfigMachine& machine);
    void addAlarms(const std::vector<wire::Alarm>& alarms);
    // Closes the evidence batch; to be called at a steady period on every host.
    void closeBatches(const MoveWorld& world);
    // Events to propose now; to be called on the leader only.
    std::vector<wire::MoveEvent> plan(const MoveWorld& world);
    // Evidence of a move so far, for operators; empty when there is none.
    moves::EvidenceSummary evidence(const std::string& moveId) const;

private:
    struct Watched {
        std::unique_ptr<moves::EvidenceBook> book;
        std::map<std::string, wire::Alarm> alarms; // by node
        int32_t step { -1 };
        int64_t callsAtStep { 0 };
        int64_t lastCalls { 0 };
        double callsPerSecond { 0 };
        base::Instant lastBatch;
        int stableSlotsAtStart { 0 };
    };

    Watched& watched(const wire::MoveRecord& move);
    moves::MoveView viewOf(const wire::MoveRecord& move, Watched& watched, const MoveWorld& world) const;

    std::map<std::string, Watched> m_watched;
};

} // namespace pomelowind::control
