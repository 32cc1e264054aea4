#include "MoveDriver.h"

#include "pomelowind/moves/MoveMachine.h"

#include <algorithm>

namespace pomelowind::control {

namespace {

    constexpr auto REACHABLE_WINDOW = base::Millis(6000);
    // Weight of the latest batch in the moving average of the call rate.
    constexpr double RATE_SMOOTHING = 0.2;

    // True for the stable version, which the move replaces. A service without a stable version has no `fromVersion`;
    // then every version except the candidate counts as stable.
    bool isOld(const wire::MoveRecord& move, const std::string& version)
    {
        return move.fromVersion.empty() ? version != move.toVersion : version == move.fromVersion;
    }

    struct Capacity {
        int targets { 0 };
        int slots { 0 };
    };

    template <class Matches>
    Capacity capacityOf(const nodes::Targets& targets, const std::string& service, Matches fits)
    {
        Capacity out;
        for (const auto& it : targets) {
            if (it.serviceName != service || it.state != wire::TargetState::SERVING || !fits(it.version))
                continue;
            ++out.targets;
            out.slots += it.slots;
        }
        return out;
    }

}

MoveDriver::Watched& MoveDriver::watched(const wire::MoveRecord& move)
{
    auto& out = m_watched[move.id];
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
    for (const auto& [service, some] : byService) {
        if (const auto* move = machine.activeMove(service))
            watched(*move).book->add(some);
    }
}

void MoveDriver::addAlarms(const std::vector<wire::Alarm>& alarms)
{
    for (const auto& it : alarms) {
        auto found = m_watched.find(it.moveId);
        if (found != m_watched.end())
            found->second.alarms[it.node] = it;
    }
}

void MoveDriver::closeBatches(const MoveWorld& world)
{
    std::set<std::string> active;
    for (const auto& move : world.machine.moves()) {
        if (moves::isOver(move))
            continue;
        active.insert(move.id);
        auto& it = watched(move);
        it.book->closeBatch();
        auto summary = it.book->summary();
        int64_t calls = summary.candidate.calls + summary.stable.calls;
        std::chrono::duration<double> passed = world.now - it.lastBatch;
        if (it.lastBatch != base::Instant() && passed.count() > 0) {
            double rate = static_cast<double>(calls - it.lastCalls) / passed.count();
            it.callsPerSecond += RATE_SMOOTHING * (rate - it.callsPerSecond);
        }
        it.lastBatch = world.now;
        it.lastCalls = calls;
    }
    // The evidence on a move stays available after its end until a move of any service is active again.
    if (!active.empty())
        std::erase_if(m_watched, [&](const auto& it) { return !active.count(it.first); });
}

moves::MoveView MoveDriver::viewOf(const wire::MoveRecord& move, Watched& watched, const MoveWorld& world) const
{
    auto targets = world.directory.liveTargets();
    moves::MoveView view;
    view.wallMs = world.wallMs;
    view.evidence = watched.book->summary();
    view.candidateCallsAtStep = watched.callsAtStep;
    view.callsPerSecond = watched.callsPerSecond;
    auto candidate
        = capacityOf(targets, move.serviceName, [&](const std::string& version) { return version == move.toVersion; });
    view.candidateTargets = candidate.targets;
    view.candidateSlots = candidate.slots;
    view.stableSlots
        = capacityOf(targets, move.serviceName, [&](const std::string& version) { return isOld(move, version); }).slots;
    watched.stableSlotsAtStart = std::max({ watched.stableSlotsAtStart, view.stableSlots, move.slotsNeeded });
    view.stableSlotsAtStart = watched.stableSlotsAtStart;
    view.alarms = static_cast<int>(watched.alarms.size());
    if (!watched.alarms.empty())
        view.alarmReason = watched.alarms.begin()->second.reason;
    int64_t needed = world.machine.state().versionOf(config::serviceKey(move.serviceName));
    view.inForce = true;
    for (const auto& node : world.directory.liveNodes()) {
        if (!world.acks.isReachable(node.node, world.now, REACHABLE_WINDOW))
            continue;
        ++view.nodes;
        view.inForce = view.inForce && world.acks.versionOf(node.node) >= needed;
    }
    view.inForce = view.inForce && view.nodes > 0;
    return view;
}

std::vector<wire::MoveEvent> MoveDriver::plan(const MoveWorld& world)
{
    std::vector<wire::MoveEvent> out;
    for (const auto& move : world.machine.moves()) {
        if (moves::isOver(move))
            continue;
        if (auto event = moves::planMove(move, viewOf(move, watched(move), world)))
            out.push_back(*event);
    }
    return out;
}

moves::EvidenceSummary MoveDriver::evidence(const std::string& moveId) const
{
    auto it = m_watched.find(moveId);
    return it == m_watched.end() ? moves::EvidenceSummary() : it->second.book->summary();
}

} // namespace pomelowind::control
