#include "MoveDriver.h"

#include "pomelowind/moves/MoveMachine.h"

#include <algorithm>

namespace pomelowind::control {

namespace {

    constexpr auto REACHABLE_WINDOW = base::Millis(6000);
    // Weight of the latest batch in the moving average of the call rate.
    constexpr double CALL_RATE_SMOOTHING = 0.2;
    // A leader plans at each tick but while an entry is being committed. A longer gap means that it has not led.
    constexpr auto MAX_PLANNING_GAP = base::Millis(2000);

    // True for the stable version, which the move replaces. A service without a stable version has no `fromVersion`;
    // then every version except the candidate counts as stable.
    bool isStableVersion(const wire::MoveRecord& move, const std::string& version)
    {
        return move.fromVersion.empty() ? version != move.toVersion : version == move.fromVersion;
    }

    struct ServingCapacity {
        int targets { 0 };
        int slots { 0 };
    };

    template <class VersionPredicate>
    ServingCapacity capacityOf(
        const nodes::TargetList& targets, const std::string& service, VersionPredicate matchesVersion)
    {
        ServingCapacity out;
        for (const auto& it : targets) {
            if (it.serviceName != service || it.state != wire::TargetState::SERVING || !matchesVersion(it.version))
                continue;
            ++out.targets;
            out.slots += it.slots;
        }
        return out;
    }

}

MoveDriver::TrackedMove& MoveDriver::track(const wire::MoveRecord& move)
{
    auto& out = m_trackedMoves[move.id];
    if (!out.aggregator)
        out.aggregator = std::make_unique<moves::EvidenceAggregator>(move.toVersion, move.fromVersion);
    if (out.step != move.step) {
        out.step = move.step;
        out.callsAtStep = out.aggregator->summary().candidate.calls;
    }
    return out;
}

void MoveDriver::addEvidence(const std::vector<wire::EvidenceCell>& cells, const config::ConfigMachine& machine)
{
    std::map<std::string, std::vector<wire::EvidenceCell>> byService;
    for (const auto& it : cells)
        byService[it.serviceName].push_back(it);
    for (const auto& [service, serviceCells] : byService) {
        if (const auto* move = machine.activeMove(service))
            track(*move).aggregator->add(serviceCells);
    }
}

void MoveDriver::addAlarms(const std::vector<wire::Alarm>& alarms)
{
    for (const auto& it : alarms) {
        auto found = m_trackedMoves.find(it.moveId);
        if (found != m_trackedMoves.end())
            found->second.alarms[it.node] = it;
    }
}

void MoveDriver::closeEvidenceBatches(const MoveContext& context)
{
    std::set<std::string> active;
    for (const auto& move : context.machine.moves()) {
        if (moves::isFinished(move))
            continue;
        active.insert(move.id);
        auto& it = track(move);
        it.aggregator->closeBatch();
        auto summary = it.aggregator->summary();
        int64_t calls = summary.candidate.calls + summary.stable.calls;
        std::chrono::duration<double> elapsed = context.now - it.lastBatch;
        if (it.lastBatch != base::Instant() && elapsed.count() > 0) {
            double rate = static_cast<double>(calls - it.lastCalls) / elapsed.count();
            it.callsPerSecond += CALL_RATE_SMOOTHING * (rate - it.callsPerSecond);
        }
        it.lastBatch = context.now;
        it.lastCalls = calls;
    }
    // The evidence on a move stays available after its end until a move of any service is active again.
    if (!active.empty())
        std::erase_if(m_trackedMoves, [&](const auto& it) { return !active.count(it.first); });
}

void MoveDriver::trackProgress(TrackedMove& tracked, int32_t step, bool hasCandidate, base::Instant now)
{
    bool isFirst = tracked.plannedAt == base::Instant() || now - tracked.plannedAt > MAX_PLANNING_GAP;
    tracked.plannedAt = now;
    if (isFirst || tracked.plannedStep != step)
        tracked.progressAt = now;
    if (isFirst || hasCandidate)
        tracked.candidateSeenAt = now;
    tracked.plannedStep = step;
}

moves::MovePlannerInput MoveDriver::makePlannerInput(
    const wire::MoveRecord& move, TrackedMove& tracked, const MoveContext& context) const
{
    auto targets = context.directory.liveTargets();
    // Calls cannot reach the candidate in an evacuated data centre. The stable version is counted everywhere: the slots
    // that the candidate needs in the end do not depend on an evacuation.
    auto evacuated = context.machine.state().evacuatedDataCentres();
    auto reachable = targets;
    std::erase_if(reachable, [&](const wire::Presence& it) { return evacuated.count(it.dataCentre) > 0; });
    moves::MovePlannerInput input;
    input.wallMs = context.wallMs;
    input.evidence = tracked.aggregator->summary();
    input.candidateCallsAtStep = tracked.callsAtStep;
    input.callsPerSecond = tracked.callsPerSecond;
    auto candidate = capacityOf(
        reachable, move.serviceName, [&](const std::string& version) { return version == move.toVersion; });
    input.candidateTargets = candidate.targets;
    input.candidateSlots = candidate.slots;
    trackProgress(tracked, move.step, candidate.targets > 0, context.now);
    input.candidateAbsentMs = base::toMillis(context.now - tracked.candidateSeenAt);
    input.stalledMs = base::toMillis(context.now - tracked.progressAt);
    input.stableSlots = capacityOf(targets, move.serviceName, [&](const std::string& version) {
        return isStableVersion(move, version);
    }).slots;
    tracked.maxStableSlotsSeen = std::max({ tracked.maxStableSlotsSeen, input.stableSlots, move.slotsNeeded });
    input.maxStableSlotsSeen = tracked.maxStableSlotsSeen;
    input.alarmedNodes = static_cast<int>(tracked.alarms.size());
    if (!tracked.alarms.empty())
        input.alarmReason = tracked.alarms.begin()->second.reason;
    int64_t needed = context.machine.state().versionOf(config::serviceKey(move.serviceName));
    input.isShareApplied = true;
    for (const auto& node : context.directory.liveNodes()) {
        if (!context.acks.isReachable(node.node, context.now, REACHABLE_WINDOW))
            continue;
        ++input.reachableNodes;
        input.isShareApplied = input.isShareApplied && context.acks.acknowledgedVersionOf(node.node) >= needed;
    }
    input.isShareApplied = input.isShareApplied && input.reachableNodes > 0;
    return input;
}

std::vector<wire::MoveEvent> MoveDriver::plan(const MoveContext& context)
{
    std::vector<wire::MoveEvent> out;
    for (const auto& move : context.machine.moves()) {
        if (moves::isFinished(move))
            continue;
        if (auto event = moves::planMove(move, makePlannerInput(move, track(move), context)))
            out.push_back(*event);
    }
    return out;
}

moves::EvidenceSummary MoveDriver::evidence(const std::string& moveId) const
{
    auto it = m_trackedMoves.find(moveId);
    return it == m_trackedMoves.end() ? moves::EvidenceSummary() : it->second.aggregator->summary();
}

} // namespace pomelowind::control
