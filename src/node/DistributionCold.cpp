// The part of DistributionCore that follows the cold state of this host's targets.
#include "DistributionCore.h"

#include "pomelowind/base/Log.h"

#include <algorithm>

namespace pomelowind::node {

using base::Instant;
using base::Millis;

namespace {

    bool isLimited(const Announcement& announcement) { return announcement.coldCallsPerSecond.value_or(0) > 0; }

}

void DistributionCore::publishLocalTargets()
{
    std::vector<Announcement> local;
    for (const auto& [name, entry] : m_localTargets) {
        if (entry.announcement.state != wire::TargetState::GONE)
            local.push_back(entry.announcement);
    }
    m_outputs.publishLocalTargets(std::move(local));
}

// Copies what the configuration says of cold targets of the service. Returns whether it has changed.
bool DistributionCore::setColdLimit(LocalTarget& target) const
{
    if (!m_state->version())
        return false;
    auto& it = target.announcement;
    // The subset for calls may lack the service of this host's own targets.
    const auto* service = m_state->service(it.serviceName);
    Millis coldStart(service ? service->coldStartMs : 0);
    double rate = service ? service->coldCallsPerSecond : 0;
    bool changed = it.serviceColdStart != coldStart || it.coldCallsPerSecond != rate;
    it.serviceColdStart = coldStart;
    it.coldCallsPerSecond = rate;
    return changed;
}

// Returns the remaining time that other nodes are told.
Millis DistributionCore::coldLeft(const LocalTarget& target, Instant now) const
{
    const auto& it = target.announcement;
    if (!isLimited(it))
        return it.coldLeft.value_or(Millis(0));
    if (!target.cold.isCold(now))
        return Millis(0);
    // An assumption has no known end. It is published again if it lasts for longer than a cold start.
    if (target.cold.until() == Instant::max())
        return std::max(it.serviceColdStart, it.coldLeft.value_or(Millis(0)));
    return std::chrono::ceil<Millis>(target.cold.until() - now);
}

// Applies the announcement that the entry holds.
void DistributionCore::followCold(LocalTarget& target, bool isNewIncarnation, Instant now)
{
    const auto& it = target.announcement;
    setColdLimit(target);
    if (isNewIncarnation)
        target.cold = {};
    target.cold.onAnnounced(it.coldLeft, it.serviceColdStart, now);
}

// Tells the gate, and other nodes if need be, after an announcement that has changed nothing else.
void DistributionCore::publishColdChange(LocalTarget& target, Instant now)
{
    if (!isLimited(target.announcement))
        return;
    bool isLeaving = target.announcement.state == wire::TargetState::LEAVING;
    if (isLeaving || !targets::mustPublishCold(target.publishedColdUntil, now + coldLeft(target, now), now))
        return publishLocalTargets();
    publishTarget(target, now);
    publish(now);
}

void DistributionCore::assumeCold(Instant now)
{
    for (auto& [name, entry] : m_localTargets) {
        bool isServing = entry.announcement.state == wire::TargetState::SERVING
            || entry.announcement.state == wire::TargetState::STARTING;
        if (!isServing || !isLimited(entry.announcement))
            continue;
        base::logInfo("target.assumed_cold", { { "target", name } });
        entry.cold.assume(now, now);
        entry.announcement.assumedColdAt = now;
        publishTarget(entry, now);
    }
}

// To be called with each version of the configuration once it is in m_state, before calls use it. `fromVersion` is the
// version before.
void DistributionCore::followColdConfiguration(const wire::Delta& delta, int64_t fromVersion, Instant now)
{
    bool changed = false;
    for (auto& [name, entry] : m_localTargets)
        changed = setColdLimit(entry) || changed;
    if (changed)
        publishLocalTargets();
    // The delta names the end also when this node has missed the evacuation. A full state names ends that lie behind.
    auto key = "evacuation/" + m_settings.dataCentre;
    bool hasEnded = std::any_of(delta.removed.begin(), delta.removed.end(),
        [&](const wire::Tombstone& it) { return it.key == key && it.version > fromVersion; });
    if (fromVersion && hasEnded && !m_state->find(key))
        assumeCold(now);
}

} // namespace pomelowind::node
