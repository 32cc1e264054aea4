#include "pomelowind/targets/Balancer.h"

#include <algorithm>

namespace pomelowind::targets {

namespace {

    constexpr int FAULTS_TO_EJECT = 3;
    constexpr auto FIRST_EJECTION = base::Millis(500);
    constexpr int MAX_DOUBLINGS = 5;
    constexpr auto REFUSAL_PAUSE = base::Millis(20);
    // At most this part of a version's targets is ejected; a fault that hits all must not leave none.
    constexpr double MOST_EJECTED = 0.5;
    constexpr double LATENCY_SMOOTHING = 0.1;
    // What answers say about load is worth less the older it is.
    constexpr auto REPORT_LIFETIME = base::Millis(200);
    // A data centre's own targets are used until their load reaches this many calls for each slot.
    constexpr double SPILL_LOAD = 1.0;

}

bool VersionChoice::allows(const std::string& version) const
{
    if (!only.empty())
        return version == only;
    return std::find(barred.begin(), barred.end(), version) == barred.end();
}

Balancer::Balancer(std::string dataCentre, uint64_t seed)
    : m_dataCentre(std::move(dataCentre))
    , m_random(seed)
{
}

const Balancer::Stats* Balancer::find(const std::string& target) const
{
    auto it = m_stats.find(target);
    return it == m_stats.end() ? nullptr : &it->second;
}

bool Balancer::isEjected(const std::string& target, base::Instant now) const
{
    const auto* stats = find(target);
    return stats && now < stats->ejectedUntil;
}

std::vector<const wire::Presence*> Balancer::candidates(const nodes::Targets& targets, const std::string& service,
    const VersionChoice& versions, const std::set<std::string>& avoid) const
{
    std::vector<const wire::Presence*> out;
    for (const auto& it : targets) {
        bool fits = it.serviceName == service && versions.allows(it.version) && it.state == wire::TargetState::SERVING;
        if (fits && !avoid.count(it.target))
            out.push_back(&it);
    }
    return out;
}

bool Balancer::hasTarget(const nodes::Targets& targets, const std::string& service, const VersionChoice& versions) const
{
    return !candidates(targets, service, versions, {}).empty();
}

std::vector<const wire::Presence*> Balancer::withoutEjected(
    const std::vector<const wire::Presence*>& all, base::Instant now) const
{
    std::vector<const wire::Presence*> out;
    for (const auto* it : all) {
        if (!isEjected(it->target, now))
            out.push_back(it);
    }
    bool tooMany = static_cast<double>(out.size()) < static_cast<double>(all.size()) * (1 - MOST_EJECTED);
    return tooMany ? all : out;
}

// Calls for each slot: own calls in flight, and what the last answer said about everybody's.
double Balancer::loadOf(const wire::Presence& target, base::Instant now) const
{
    const auto* stats = find(target.target);
    if (!stats)
        return 0;
    double others = now - stats->reportedAt < REPORT_LIFETIME ? stats->reported : 0;
    double calls = std::max(static_cast<double>(stats->inFlight), others);
    double penalty = now < stats->refusedUntil ? SPILL_LOAD : 0;
    return calls / std::max(1, target.slots) + penalty;
}

const wire::Presence* Balancer::pickOfTwo(const std::vector<const wire::Presence*>& some, base::Instant now)
{
    if (some.empty())
        return nullptr;
    const auto* a = some[m_random.below(some.size())];
    const auto* b = some[m_random.below(some.size())];
    auto cost = [&](const wire::Presence* it) {
        const auto* stats = find(it->target);
        return (loadOf(*it, now) + 1.0 / std::max(1, it->slots)) * (stats ? stats->latencyMs : 1);
    };
    return cost(a) <= cost(b) ? a : b;
}

std::optional<wire::Presence> Balancer::choose(const nodes::Targets& targets, const std::string& service,
    const VersionChoice& versions, const std::set<std::string>& avoid, base::Instant now)
{
    auto usable = withoutEjected(candidates(targets, service, versions, avoid), now);
    std::vector<const wire::Presence*> near;
    std::vector<const wire::Presence*> far;
    for (const auto* it : usable)
        (it->dataCentre == m_dataCentre ? near : far).push_back(it);
    const auto* local = pickOfTwo(near, now);
    if (local && (far.empty() || loadOf(*local, now) < SPILL_LOAD))
        return *local;
    const auto* remote = pickOfTwo(far, now);
    if (local && remote)
        return loadOf(*remote, now) < loadOf(*local, now) ? *remote : *local;
    const auto* only = local ? local : remote;
    return only ? std::optional(*only) : std::nullopt;
}

void Balancer::started(const std::string& target) { ++m_stats[target].inFlight; }

void Balancer::ended(const Observation& observation, base::Instant now)
{
    auto it = m_stats.find(observation.target);
    if (it == m_stats.end())
        return;
    auto& stats = it->second;
    stats.inFlight = std::max(0, stats.inFlight - 1);
    stats.reported = observation.inFlight + observation.queued;
    stats.reportedAt = now;
    if (observation.refused) {
        stats.refusedUntil = now + REFUSAL_PAUSE;
        return;
    }
    if (!observation.fault) {
        stats.faultsInRow = 0;
        stats.ejections = 0;
        double ms = static_cast<double>(observation.latency.count()) / 1000;
        stats.latencyMs += LATENCY_SMOOTHING * (ms - stats.latencyMs);
        return;
    }
    if (++stats.faultsInRow < FAULTS_TO_EJECT)
        return;
    stats.ejectedUntil = now + FIRST_EJECTION * (1 << std::min(stats.ejections++, MAX_DOUBLINGS));
    stats.faultsInRow = FAULTS_TO_EJECT - 1;
}

void Balancer::retain(const nodes::Targets& targets)
{
    std::set<std::string> present;
    for (const auto& it : targets)
        present.insert(it.target);
    std::erase_if(m_stats, [&](const auto& it) { return !present.count(it.first) && it.second.inFlight == 0; });
}

} // namespace pomelowind::targets
