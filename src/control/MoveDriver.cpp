#include "MoveDriver.h"

#include "pomelowind/moves/MoveMachine.h"

#include <algorithm>

namespace pomelowind::control {

namespace {

    constexpr auto REACHABLE_WINDOW = base::Millis(6000);
    // Weight of the latest batch in the moving average of the call rate.
    constexpr double CALL_RATE_SMOOTHING = 0.2;

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
        const nodes::Targets& targets, const std::string& service, VersionPredicate matchesVersion)
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
    if (!out.book)
        out.book = std::make_unique<moves::EvidenceBook>(move.toVersion, move.fromVersion);
    if (out.step != move.step) {
        out.step = move.step;
        out.callsAtStep = out.book->summary().candidate.calls;
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
            track(*move).book->add(serviceCells);
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
        if (moves::isOver(move))
            continue;
        active.insert(move.id);
        auto& it = track(move);
        it.book->closeBatch();
        auto summary = it.book->summary();
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

moves::MoveView MoveDriver::makeView(
    const wire::MoveRecord& move, TrackedMove& tracked, const MoveContext& context) const
{
    auto targets = context.directory.liveTargets();
    moves::MoveView view;
    view.wallMs = context.wallMs;
    view.evidence = tracked.book->summary();
    view.candidateCallsAtStep = tracked.callsAtStep;
    view.callsPerSecond = tracked.callsPerSecond;
    auto candidate
        = capacityOf(targets, move.serviceName, [&](const std::string& version) { return version == move.toVersion; });
    view.candidateTargets = candidate.targets;
    view.candidateSlots = candidate.slots;
    view.stableSlots = capacityOf(targets, move.serviceName, [&](const std::string& version) {
        return isStableVersion(move, version);
    }).slots;
    tracked.stableSlotsAtStart = std::max({ tracked.stableSlotsAtStart, view.stableSlots, move.slotsNeeded });
    view.stableSlotsAtStart = tracked.stableSlotsAtStart;
    view.alarms = static_cast<int>(tracked.alarms.size());
    if (!tracked.alarms.empty())
        view.alarmReason = tracked.alarms.begin()->second.reason;
    int64_t needed = context.machine.state().versionOf(config::serviceKey(move.serviceName));
    view.inForce = true;
    for (const auto& node : context.directory.liveNodes()) {
        if (!context.acks.isReachable(node.node, context.now, REACHABLE_WINDOW))
            continue;
        ++view.nodes;
        view.inForce = view.inForce && context.acks.versionOf(node.node) >= needed;
    }
    view.inForce = view.inForce && view.nodes > 0;
    return view;
}

std::vector<wire::MoveEvent> MoveDriver::plan(const MoveContext& context)
{
    std::vector<wire::MoveEvent> out;
    for (const auto& move : context.machine.moves()) {
        if (moves::isOver(move))
            continue;
        if (auto event = moves::planMove(move, makeView(move, track(move), context)))
            out.push_back(*event);
    }
    return out;
}

moves::EvidenceSummary MoveDriver::evidence(const std::string& moveId) const
{
    auto it = m_trackedMoves.find(moveId);
    return it == m_trackedMoves.end() ? moves::EvidenceSummary() : it->second.book->summary();
}

} // namespace pomelowind::control
