#include "pomelowind/targets/Balancer.h"

#include <algorithm>

namespace pomelowind::targets {

namespace {

    // Consecutive faults after which a target is ejected. The duration doubles with each further ejection.
    constexpr int FAULTS_TO_EJECT = 3;
    constexpr auto INITIAL_EJECTION = base::Millis(500);
    constexpr int MAX_EJECTION_DOUBLINGS = 5;
    // Bounds of the time for which a target that refused a call counts as busier.
    constexpr auto MIN_REFUSAL_PENALTY = base::Millis(20);
    constexpr auto MAX_REFUSAL_PENALTY = base::Millis(100);
    // Maximum ratio of the candidates that may be ejected, so that a fault common to all of them leaves some.
    constexpr double MAX_EJECTED_RATIO = 0.5;
    // Weights of a new value in a moving average: of a single call, and of an average reported by a gate.
    constexpr double CALL_SMOOTHING = 0.1;
    constexpr double GATE_REPORT_SMOOTHING = 0.5;
    // The prior assumption that a new target is as fast as the others has the weight of this many samples.
    constexpr double PRIOR_SAMPLES = 2;
    constexpr size_t MAX_KINDS = 1024;
    // Range within which targets of one service differ in speed. A target beyond it is faulty rather than slow.
    constexpr double MIN_SLOWNESS = 0.2;
    constexpr double MAX_SLOWNESS = 10;
    // Added cost of a target whose slots are all busy, in units of its average service time: load makes calls slower
    // even before they are queued.
    constexpr double BUSY_PENALTY_SERVICE_TIMES = 0.3;
    // Cost of the round trip to another data centre, in units of the average service time.
    constexpr double REMOTE_COST = 0.1;
    // Number of random candidates that are compared. Nodes learn late about the load caused by others; if each compared
    // all candidates, they would all choose the same target.
    constexpr size_t MAX_COMPARED_CANDIDATES = 4;
    // Age up to which a load reported in an answer is used.
    constexpr auto LOAD_REPORT_LIFETIME = base::Millis(400);
    // Load per slot from which calls of a kind with unknown service time may be sent to another data centre. Also added
    // to the load of a target that recently refused a call.
    constexpr double SPILLOVER_LOAD = 0.9;

}

bool VersionFilter::allows(const std::string& version) const
{
    if (!required.empty())
        return version == required;
    return std::find(excluded.begin(), excluded.end(), version) == excluded.end();
}

Balancer::Balancer(std::string dataCentre, uint64_t seed, CrossingPrice price)
    : m_dataCentre(std::move(dataCentre))
    , m_random(seed)
    , m_price(price)
    , m_coldTargets(m_dataCentre, seed + 1)
{
}

const Balancer::Stats* Balancer::find(const std::string& target) const
{
    auto it = m_stats.find(target);
    return it == m_stats.end() ? nullptr : &it->second;
}

base::Millis Balancer::typicalServiceTime(const std::string& kind) const
{
    auto it = m_serviceMs.find(kind);
    return base::Millis(it == m_serviceMs.end() ? 0 : static_cast<int64_t>(it->second));
}

bool Balancer::isEjected(const std::string& target, base::Instant now) const
{
    const auto* stats = find(target);
    return stats && now < stats->ejectedUntil;
}

Balancer::Candidates Balancer::findCandidates(const nodes::TargetList& targets, const std::string& service,
    const VersionFilter& versions, const std::set<std::string>& excluded) const
{
    Candidates out;
    for (const auto& it : targets) {
        bool isEligible
            = it.serviceName == service && versions.allows(it.version) && it.state == wire::TargetState::SERVING;
        if (isEligible && !excluded.count(it.target))
            out.push_back(&it);
    }
    return out;
}

bool Balancer::hasTarget(
    const nodes::TargetList& targets, const std::string& service, const VersionFilter& versions) const
{
    return !findCandidates(targets, service, versions, {}).empty();
}

Balancer::Candidates Balancer::withoutEjected(const Candidates& all, base::Instant now) const
{
    Candidates out;
    for (const auto* it : all) {
        if (!isEjected(it->target, now))
            out.push_back(it);
    }
    bool tooMany = static_cast<double>(out.size()) < static_cast<double>(all.size()) * (1 - MAX_EJECTED_RATIO);
    return tooMany ? all : out;
}

// Returns the calls per slot: the larger of this node's calls in flight and the total reported in the last answer.
double Balancer::loadOf(const wire::Presence& target, base::Instant now) const
{
    const auto* stats = find(target.target);
    if (!stats)
        return 0;
    double freshReportedCalls = now - stats->reportedAt < LOAD_REPORT_LIFETIME ? stats->reportedCalls : 0;
    double calls = std::max(static_cast<double>(stats->inFlight), freshReportedCalls);
    double penalty = now < stats->refusedUntil ? SPILLOVER_LOAD : 0;
    return calls / std::max(1, target.slots) + penalty;
}

// Returns the expected time until a call ends at the target, in units of the average service time of its kind.
double Balancer::costOf(const wire::Presence& target, base::Instant now) const
{
    const auto* stats = find(target.target);
    double load = loadOf(target, now);
    double turns = std::max(0.0, load + 1.0 / std::max(1, target.slots) - 1);
    return (stats ? stats->slowness : 1) * (1 + turns + BUSY_PENALTY_SERVICE_TIMES * std::min(1.0, load));
}

// Returns the candidate with the lowest cost out of a few random ones, or nothing if there are none.
const wire::Presence* Balancer::cheapest(Candidates candidates, base::Instant now)
{
    const wire::Presence* best = nullptr;
    double bestCost = 0;
    for (size_t i = 0; i < std::min(MAX_COMPARED_CANDIDATES, candidates.size()); ++i) {
        std::swap(candidates[i], candidates[i + m_random.uniformBelow(candidates.size() - i)]);
        double cost = costOf(*candidates[i], now);
        if (!best || cost < bestCost) {
            best = candidates[i];
            bestCost = cost;
        }
    }
    return best;
}

bool Balancer::shouldCrossDataCentres(
    const wire::Presence& local, const wire::Presence& remote, base::Instant now, const PlacementRequest& call) const
{
    double localCost = costOf(local, now);
    double remoteCost = costOf(remote, now) + REMOTE_COST;
    auto averageMs = m_serviceMs.find(call.kind);
    if (averageMs == m_serviceMs.end())
        return loadOf(local, now) >= SPILLOVER_LOAD && remoteCost < localCost;
    return isWorthCrossing(averageMs->second * localCost, averageMs->second * remoteCost, profileOf(call), m_price);
}

CallProfile Balancer::profileOf(const PlacementRequest& call) const
{
    auto it = m_responseBytes.find(call.kind);
    auto responseBytes = it == m_responseBytes.end() ? 0 : static_cast<size_t>(it->second);
    return { call.bodyBytes + responseBytes, call.untilObjective };
}

std::optional<Placement> Balancer::choose(const nodes::TargetList& targets, const std::string& service,
    const VersionFilter& versions, const std::set<std::string>& excluded, base::Instant now,
    const PlacementRequest& call)
{
    auto usable
        = m_coldTargets.available(withoutEjected(findCandidates(targets, service, versions, excluded), now), now);
    Candidates localCandidates;
    Candidates remoteCandidates;
    for (const auto* it : usable)
        (it->dataCentre == m_dataCentre ? localCandidates : remoteCandidates).push_back(it);
    bool isLastLocal = localCandidates.size() == 1 && !remoteCandidates.empty();
    const auto* local = cheapest(std::move(localCandidates), now);
    const auto* remote = cheapest(std::move(remoteCandidates), now);
    if (!local && !remote)
        return std::nullopt;
    if (!local || (remote && shouldCrossDataCentres(*local, *remote, now, call))) {
        m_coldTargets.onChosen(remote->target, now);
        return Placement { *remote, {} };
    }
    m_coldTargets.onChosen(local->target, now);
    Placement out { *local, {} };
    if (isLastLocal)
        out.maxQueueWait = base::Millis(static_cast<int64_t>(m_price.equivalentWaitMs(profileOf(call).bytes)));
    return out;
}

void Balancer::onAttemptStarted(const std::string& target) { ++m_stats[target].inFlight; }

void Balancer::onAttemptEnded(const AttemptResult& result, base::Instant now)
{
    auto it = m_stats.find(result.target);
    if (it == m_stats.end())
        return;
    auto& stats = it->second;
    stats.inFlight = std::max(0, stats.inFlight - 1);
    stats.reportedCalls = result.inFlight + result.queued;
    stats.reportedAt = now;
    if (result.cold)
        m_coldTargets.onAnswered(result.target, *result.cold, result.refused, result.retryAfter, now);
    if (result.responseBytes && (m_responseBytes.size() < MAX_KINDS || m_responseBytes.count(result.kind))) {
        auto bytes = static_cast<double>(result.responseBytes);
        auto [known, isNew] = m_responseBytes.emplace(result.kind, bytes);
        known->second += CALL_SMOOTHING * (bytes - known->second);
    }
    if (result.refused) {
        stats.refusedUntil = now + std::clamp(result.retryAfter, MIN_REFUSAL_PENALTY, MAX_REFUSAL_PENALTY);
        if (result.typicalServiceTime.count())
            updateSlowness(stats, result);
        return;
    }
    if (!result.fault) {
        stats.consecutiveFaults = 0;
        stats.ejections = 0;
        return updateSlowness(stats, result);
    }
    if (++stats.consecutiveFaults < FAULTS_TO_EJECT)
        return;
    stats.ejectedUntil = now + INITIAL_EJECTION * (1 << std::min(stats.ejections++, MAX_EJECTION_DOUBLINGS));
    stats.consecutiveFaults = FAULTS_TO_EJECT - 1;
}

double Balancer::updateAverageServiceMs(const std::string& kind, double ms)
{
    if (m_serviceMs.size() >= MAX_KINDS && !m_serviceMs.count(kind))
        return ms;
    auto [it, isNew] = m_serviceMs.emplace(kind, ms);
    it->second += CALL_SMOOTHING * (ms - it->second);
    return it->second;
}

// An average reported by the gate covers the calls of all nodes, so it has more weight than a single call.
void Balancer::updateSlowness(Stats& stats, const AttemptResult& result)
{
    bool isGateReport = result.typicalServiceTime.count() > 0;
    auto serviceTime = isGateReport  ? result.typicalServiceTime
        : result.serviceTime.count() ? result.serviceTime
                                     : result.latency;
    double ms = std::max(0.1, static_cast<double>(serviceTime.count()) / 1000);
    double relative = std::clamp(ms / updateAverageServiceMs(result.kind, ms), MIN_SLOWNESS, MAX_SLOWNESS);
    double weight
        = isGateReport ? GATE_REPORT_SMOOTHING : std::max(CALL_SMOOTHING, 1.0 / (++stats.samples + PRIOR_SAMPLES));
    stats.slowness += weight * (relative - stats.slowness);
}

void Balancer::retain(const nodes::TargetList& targets)
{
    std::set<std::string> presentTargets;
    for (const auto& it : targets)
        presentTargets.insert(it.target);
    std::erase_if(m_stats, [&](const auto& it) { return !presentTargets.count(it.first) && it.second.inFlight == 0; });
}

} // namespace pomelowind::targets
