#include "benchmarks/MoveModel.h"

#include <cmath>

namespace pomelowind::bench {

namespace {

    constexpr int64_t TICK_MS = 250;
    // Delay from a decision until every node has applied its share, and from a call until the control host counts it.
    constexpr int64_t REPORT_DELAY_MS = 250;
    constexpr int ROUTES = 3;
    constexpr int ACCOUNTS = 5;
    constexpr int DATA_CENTRES = 4;
    constexpr double MEAN_SERVICE_MS = 4;
    constexpr int64_t OUTAGE_MS = 4000;
    constexpr double OUTAGE_FAILURE_RATE = 0.5;
    constexpr int64_t LATE_FAULT_AFTER_MS = 6000;
    constexpr double LEAK_DOUBLING_MS = 4000;
    constexpr int32_t LOAD_FAULT_ABOVE_SHARE_PERMILLE = 300;
    constexpr double BASELINE_MAX_FAILURE_RATIO = 0.05;
    constexpr int64_t BASELINE_MIN_CALLS = 50;
    constexpr double HARMFUL_SLOWDOWN = 1.5;

}

const char* faultName(VersionFault kind)
{
    switch (kind) {
    case VersionFault::None:
        return "none";
    case VersionFault::Fails:
        return "fails";
    case VersionFault::OneRoute:
        return "one_route";
    case VersionFault::Slow:
        return "slow";
    case VersionFault::Load:
        return "high_load";
    case VersionFault::Leak:
        return "leak";
    case VersionFault::Late:
        return "late";
    case VersionFault::Crashes:
        return "crashes";
    case VersionFault::LiesInHealth:
        return "lies_in_health";
    case VersionFault::OneAccount:
        return "one_account";
    }
    return "unknown";
}

MoveModel::MoveModel(const Scenario& scenario, uint64_t seed)
    : m_scenario(scenario)
    , m_random(seed)
    , m_outageFromMs(static_cast<int64_t>(m_random.uniformBelow(static_cast<uint64_t>(scenario.deadlineMs))))
{
}

bool MoveModel::applyFault(int64_t nowMs, int32_t permille, int route, int account, double& latencyMs)
{
    int64_t exposedForMs = m_exposedSinceMs < 0 ? 0 : nowMs - m_exposedSinceMs;
    double rate = m_scenario.failRate;
    switch (m_scenario.fault) {
    case VersionFault::None:
        return false;
    case VersionFault::Fails:
    case VersionFault::LiesInHealth:
        return m_random.bernoulli(rate);
    case VersionFault::OneRoute:
        return route == 0 && m_random.bernoulli(4 * rate);
    case VersionFault::OneAccount:
        return account == 0 && m_random.bernoulli(6 * rate);
    case VersionFault::Crashes:
        return m_random.bernoulli(0.9);
    case VersionFault::Late:
        return exposedForMs > LATE_FAULT_AFTER_MS && m_random.bernoulli(2 * rate);
    case VersionFault::Load:
        return permille > LOAD_FAULT_ABOVE_SHARE_PERMILLE && m_random.bernoulli(3 * rate);
    case VersionFault::Slow:
        latencyMs *= m_scenario.slowFactor;
        return true;
    case VersionFault::Leak: {
        double factor = std::exp2(static_cast<double>(exposedForMs) / LEAK_DOUBLING_MS) - 0.2;
        latencyMs *= std::max(1.0, factor);
        return factor > HARMFUL_SLOWDOWN;
    }
    }
    return false;
}

void MoveModel::simulateCall(int64_t nowMs, bool isCandidate, int32_t permille, std::vector<wire::EvidenceCell>& cells,
    TickSamples& tick, MoveResult& result)
{
    int route = static_cast<int>(m_random.uniformBelow(ROUTES));
    int account = static_cast<int>(m_random.uniformBelow(ACCOUNTS));
    int dataCentre = static_cast<int>(m_random.uniformBelow(DATA_CENTRES));
    int target = static_cast<int>(m_random.uniformBelow(static_cast<uint64_t>(m_scenario.targets)));
    double latencyMs = -MEAN_SERVICE_MS * std::log(1 - m_random.uniformReal());
    bool isOutage = m_scenario.dataCentreOutage && dataCentre == 0 && nowMs >= m_outageFromMs
        && nowMs < m_outageFromMs + OUTAGE_MS;
    bool failed = m_random.bernoulli(isOutage ? OUTAGE_FAILURE_RATE : m_scenario.baseFailure);
    if (isCandidate) {
        bool harmed = applyFault(nowMs, permille, route, account, latencyMs);
        bool isSlowFault = m_scenario.fault == VersionFault::Slow || m_scenario.fault == VersionFault::Leak;
        if (harmed) {
            ++result.harmedCalls;
            m_firstHarmMs = m_firstHarmMs < 0 ? nowMs : m_firstHarmMs;
        }
        failed = failed || (harmed && !isSlowFault);
        // Calls to a failed host fail until outlier ejection removes it after a few of them.
        bool isHostLost
            = m_scenario.hostFailure && target == 0 && nowMs >= m_outageFromMs && nowMs < m_outageFromMs + TICK_MS;
        failed = failed || isHostLost;
    }
    auto& sample = isCandidate ? tick.candidate : tick.stable;
    ++sample.calls;
    sample.faults += failed ? 1 : 0;
    ++result.totalCalls;
    wire::EvidenceCell cell;
    cell.version = isCandidate ? "new" : "old";
    cell.dataCentre = std::to_string(dataCentre);
    cell.calls = 1;
    cell.failures = failed ? 1 : 0;
    cell.dimension = wire::EvidenceDimension::TARGET;
    cell.value = std::to_string(target);
    cells.push_back(cell);
    cell.dimension = wire::EvidenceDimension::ACCOUNT;
    cell.value = std::to_string(account);
    cells.push_back(cell);
    cell.dimension = wire::EvidenceDimension::ROUTE;
    cell.value = std::to_string(route);
    if (!failed)
        cell.latency[moves::latencyBucket(static_cast<int64_t>(latencyMs * 1000))] = 1;
    cells.push_back(cell);
}

MoveModel::TickSamples MoveModel::simulateTick(
    int64_t nowMs, int32_t permille, moves::EvidenceAggregator* aggregator, MoveResult& result)
{
    TickSamples tick;
    m_callCredit += m_scenario.callsPerSecond * TICK_MS / 1000;
    std::vector<wire::EvidenceCell> cells;
    if (permille > 0 && m_exposedSinceMs < 0)
        m_exposedSinceMs = nowMs;
    int64_t n = 0;
    int64_t exposed = 0;
    for (; m_callCredit >= 1; m_callCredit -= 1) {
        ++n;
        m_exposureCredit += permille;
        bool isCandidate = m_exposureCredit >= 1000;
        m_exposureCredit -= isCandidate ? 1000 : 0;
        exposed += isCandidate ? 1 : 0;
        simulateCall(nowMs, isCandidate, permille, cells, tick, result);
    }
    result.callsOverGrant += std::max<int64_t>(0, exposed - (n * permille / 1000 + 1));
    if (aggregator) {
        aggregator->add(cells);
        aggregator->closeBatch();
    }
    return tick;
}

MoveResult MoveModel::runPlanned()
{
    MoveResult result;
    moves::EvidenceAggregator aggregator("new", "old");
    wire::MoveRecord move;
    move.id = "m";
    move.fromVersion = "old";
    move.toVersion = "new";
    move.deadlineMs = m_scenario.deadlineMs;
    move.watchMs = m_scenario.watchMs;
    int64_t candidateCallsAtStep = 0;
    int32_t appliedPermille = 0;
    int64_t changedMs = 0;
    for (int64_t now = 0; now < m_scenario.deadlineMs * 2 && !moves::isFinished(move); now += TICK_MS) {
        if (now - changedMs >= REPORT_DELAY_MS)
            appliedPermille = move.permille;
        simulateTick(now, appliedPermille, &aggregator, result);
        moves::MovePlannerInput input;
        input.wallMs = now;
        input.evidence = aggregator.summary();
        input.candidateCallsAtStep = candidateCallsAtStep;
        input.callsPerSecond = m_scenario.callsPerSecond;
        input.candidateTargets = m_scenario.targets;
        input.candidateSlots = input.stableSlots = input.maxStableSlotsSeen = m_scenario.targets * m_scenario.slots;
        input.isShareApplied = appliedPermille == move.permille;
        input.reachableNodes = m_scenario.targets;
        auto event = moves::planMove(move, input);
        if (!event)
            continue;
        auto transition = moves::applyMoveEvent(move, *event, now);
        if (!transition.accepted)
            continue;
        move = transition.next;
        changedMs = now;
        candidateCallsAtStep = input.evidence.candidate.calls;
    }
    result.done = move.state == wire::MoveState::DONE;
    result.onTime = result.done && move.endedMs <= move.deadlineMs;
    result.rolledBack = move.state == wire::MoveState::TAKEN_BACK;
    result.reason = move.reason;
    if (result.rolledBack) {
        simulateTick(move.endedMs, appliedPermille, nullptr, result);
        if (m_firstHarmMs >= 0)
            result.rollbackMs = move.endedMs + REPORT_DELAY_MS - m_firstHarmMs;
    }
    return result;
}

MoveResult MoveModel::runThreshold(const std::vector<int32_t>& steps)
{
    MoveResult result;
    moves::Sample seen;
    int64_t rampMs = m_scenario.deadlineMs - m_scenario.watchMs;
    for (int64_t now = 0; now < m_scenario.deadlineMs; now += TICK_MS) {
        auto step = std::min(steps.size() - 1, static_cast<size_t>(now * static_cast<int64_t>(steps.size()) / rampMs));
        auto tick = simulateTick(now, steps[step], nullptr, result);
        seen.calls += tick.candidate.calls;
        seen.faults += tick.candidate.faults;
        bool hasEnoughCalls = seen.calls >= BASELINE_MIN_CALLS;
        if (!hasEnoughCalls
            || static_cast<double>(seen.faults) <= BASELINE_MAX_FAILURE_RATIO * static_cast<double>(seen.calls))
            continue;
        simulateTick(now, steps[step], nullptr, result);
        result.rolledBack = true;
        result.rollbackMs = m_firstHarmMs < 0 ? -1 : now + REPORT_DELAY_MS - m_firstHarmMs;
        return result;
    }
    result.done = true;
    result.onTime = true;
    return result;
}

MoveResult MoveModel::runFixedSteps() { return runThreshold({ 10, 100, 500, 1000 }); }

MoveResult MoveModel::runBlueGreen() { return runThreshold({ 1000 }); }

} // namespace pomelowind::bench
