// The part of DistributionCore that keeps the targets of this host: their announcements, departures and leases.
#include "DistributionCore.h"

#include "pomelowind/base/Log.h"

#include <algorithm>
#include <utility>

namespace pomelowind::node {

using base::Instant;
using base::Millis;

namespace {

    // Targets and departed targets of one host. A host has a few; the rest is a bound on what other writers can add.
    constexpr size_t MAX_LOCAL_TARGETS = 256;
    // Largest whole number that every JSON implementation represents exactly. A sequence beyond it is none that counts
    // announcements, and would make all later ones look outdated.
    constexpr int64_t MAX_SEQUENCE = (int64_t(1) << 53) - 1;
    // An incarnation is the time of a start on this host's clock, which may have been stepped since.
    constexpr auto MAX_CLOCK_STEP = std::chrono::hours(1);
    constexpr auto MAX_RAMP_UP = Millis(3600000);
    constexpr auto TOMBSTONE_RETENTION = Millis(600000);
    // Below the time for which targets wait for the answer to an announcement, one second.
    constexpr auto RECORD_TIMEOUT = Millis(800);
    constexpr size_t MAX_RECORD_WAITERS = 256;

}

int64_t DistributionCore::wallMs(Instant now) const { return m_incarnation + base::toMillis(now - m_started); }

void DistributionCore::checkIsLocal(const Announcement& announcement) const
{
    bool isForeign = (m_settings.targetAddress && announcement.address != *m_settings.targetAddress)
        || (!m_settings.localService.empty() && announcement.serviceName != m_settings.localService);
    if (isForeign)
        throw base::UserError(base::ErrorKind::InvalidInput,
            "target '" + announcement.target + "' at " + announcement.address.text() + " of service '"
                + announcement.serviceName + "' is not this host's",
            "announce it to the node of its own host");
}

void DistributionCore::checkNumbers(const Announcement& announcement, Instant now) const
{
    auto coldLeft = announcement.coldLeft.value_or(Millis(0));
    bool isOutOfRange = announcement.sequence < 0 || announcement.sequence > MAX_SEQUENCE
        || announcement.incarnation < 0 || announcement.incarnation > wallMs(now) + Millis(MAX_CLOCK_STEP).count()
        || coldLeft < Millis(0) || coldLeft > MAX_RAMP_UP;
    if (isOutOfRange)
        throw base::UserError(base::ErrorKind::InvalidInput,
            "the announcement of target '" + announcement.target + "' holds a number out of range",
            "announce the start of the process in Unix milliseconds, and count its announcements from 1");
}

// Returns whether this process knows something later of the target than the announcement says.
bool DistributionCore::isOutdated(const Announcement& announcement) const
{
    for (const auto& [name, entry] : m_localTargets) {
        const auto& known = entry.announcement;
        bool isSameTarget = name == announcement.target;
        bool sameIncarnation = isSameTarget && known.incarnation == announcement.incarnation;
        // That a target leaves always counts, since the acknowledgement binds this node.
        bool isEarlier = announcement.sequence && announcement.sequence <= known.sequence
            && announcement.state != wire::TargetState::LEAVING;
        bool isOutdated = (sameIncarnation && isEarlier) || (sameIncarnation && entry.departed)
            || (isSameTarget && entry.departed && known.incarnation > announcement.incarnation)
            || (known.address == announcement.address && known.incarnation > announcement.incarnation);
        if (isOutdated)
            return true;
    }
    return !m_localTargets.count(announcement.target) && isOlderThanDirectory(announcement);
}

// Returns whether the mesh knows something later, from before this process started.
bool DistributionCore::isOlderThanDirectory(const Announcement& announcement) const
{
    const auto* known = m_directory.findTarget(announcement.target);
    if (!known || known->targetIncarnation < announcement.incarnation)
        return false;
    bool isFinal = known->leaves && known->noticeSequence == nodes::FINAL_NOTICE;
    if (known->targetIncarnation > announcement.incarnation)
        return isFinal || known->state != wire::TargetState::GONE;
    bool isEarlier = announcement.sequence && announcement.sequence <= known->noticeSequence;
    return isFinal || (known->leaves && isEarlier && announcement.state == wire::TargetState::SERVING);
}

DistributionCore::LocalTarget& DistributionCore::localTarget(const std::string& target)
{
    if (!m_localTargets.count(target) && m_localTargets.size() >= MAX_LOCAL_TARGETS)
        throw base::UserError(base::ErrorKind::InvalidInput, "too many targets have been announced on this host",
            "announce each target under one id until it ends");
    return m_localTargets[target];
}

void DistributionCore::announce(const Announcement& announcement, Instant now)
{
    checkIsLocal(announcement);
    checkNumbers(announcement, now);
    if (isOutdated(announcement)) {
        auto known = m_localTargets.find(announcement.target);
        base::logInfo("target.late_announcement",
            { { "target", announcement.target }, { "incarnation", announcement.incarnation },
                { "sequence", announcement.sequence },
                { "known_sequence", known == m_localTargets.end() ? 0 : known->second.announcement.sequence } });
        return;
    }
    bool isLeaving = announcement.state == wire::TargetState::LEAVING || announcement.state == wire::TargetState::GONE;
    if (m_holdsAnnouncements && !isLeaving && !m_localTargets.count(announcement.target)
        && m_heldAnnouncements.size() < MAX_LOCAL_TARGETS) {
        m_heldAnnouncements[announcement.target] = announcement;
        return;
    }
    m_heldAnnouncements.erase(announcement.target);
    auto& entry = localTarget(announcement.target);
    bool isNewIncarnation = entry.announcement.incarnation != announcement.incarnation;
    if (isNewIncarnation)
        entry.departed = entry.leaving = false;
    int64_t lastSequence = isNewIncarnation ? 0 : entry.announcement.sequence;
    entry.announcedLeaving = isLeaving;
    // Sequence number and remaining ramp-up time change with every announcement; a change of them alone is not
    // reported.
    Announcement comparable = announcement;
    comparable.sequence = entry.announcement.sequence;
    comparable.coldLeft = entry.announcement.coldLeft;
    comparable.receivedAt = entry.announcement.receivedAt;
    comparable.assumedColdAt = isNewIncarnation ? Instant() : entry.announcement.assumedColdAt;
    comparable.serviceColdStart = entry.announcement.serviceColdStart;
    comparable.coldCallsPerSecond = entry.announcement.coldCallsPerSecond;
    if (entry.leaving)
        comparable.state = wire::TargetState::LEAVING;
    bool changed = !(entry.announcement == comparable);
    entry.announcement = announcement;
    entry.announcement.receivedAt = now;
    entry.announcement.assumedColdAt = comparable.assumedColdAt;
    entry.announcement.state = comparable.state;
    followCold(entry, isNewIncarnation, now);
    // The gate of the new target takes over from that of the earlier one, so they appear and go in one step.
    retireReplacedTargets(announcement, now);
    entry.announcement.sequence = std::max(announcement.sequence, lastSequence);
    entry.leaseEnd = now + m_settings.targetLease;
    if (!changed)
        return publishColdChange(entry, now);
    publishTarget(entry, now);
    if (isLeaving)
        reportDepartureNow();
    publish(now);
}

// Marks earlier targets at the announced address as gone: a newer target there proves that they have ended, whether or
// not they announced it.
void DistributionCore::retireReplacedTargets(const Announcement& announcement, Instant now)
{
    for (auto& [name, entry] : m_localTargets) {
        bool replaced = name != announcement.target && entry.announcement.address == announcement.address
            && entry.announcement.state != wire::TargetState::GONE;
        if (!replaced)
            continue;
        base::logInfo("target.replaced", { { "target", name }, { "by", announcement.target } });
        entry.announcement.state = wire::TargetState::GONE;
        entry.departed = true;
        publishTarget(entry, now);
    }
}

// A departing target still answers its running calls, so it is drained rather than removed. The departure of a target
// that this process has not heard of is recorded too: it may have been announced to an earlier process of this node.
void DistributionCore::depart(const std::string& target, std::optional<int64_t> incarnation, Instant now)
{
    auto known = m_localTargets.find(target);
    bool isKnown = known != m_localTargets.end();
    int64_t departing = incarnation.value_or(isKnown ? known->second.announcement.incarnation : wallMs(now));
    if (isKnown && departing < known->second.announcement.incarnation) {
        base::logInfo("target.late_departure", { { "target", target }, { "incarnation", departing } });
        return;
    }
    auto& entry = localTarget(target);
    m_heldAnnouncements.erase(target);
    if (!isKnown || departing > entry.announcement.incarnation) {
        entry = {};
        entry.announcement.target = target;
        entry.announcement.incarnation = departing;
        entry.announcement.state = wire::TargetState::GONE;
        entry.leaseEnd = now;
    }
    if (std::exchange(entry.departed, true))
        return;
    if (entry.announcement.state != wire::TargetState::GONE)
        entry.announcement.state = wire::TargetState::LEAVING;
    publishTarget(entry, now);
    reportDepartureNow();
    publish(now);
}

// Sends the report before the departure is acknowledged: this process may end at any time afterwards.
void DistributionCore::reportDepartureNow()
{
    if (m_admitted)
        flushReport();
}

bool DistributionCore::isRecorded(const std::string& target) const
{
    auto local = m_localTargets.find(target);
    if (local == m_localTargets.end())
        return true;
    const auto& entry = local->second;
    bool isNumbered = entry.leavesForGood() || entry.announcement.sequence;
    bool isLeaving = entry.leavesForGood() || entry.announcedLeaving;
    // Without numbers there is no later order of announcements that a record could keep.
    if (!isLeaving || !isNumbered)
        return true;
    const auto* known = m_directory.findTarget(target);
    return known && known->targetIncarnation == entry.announcement.incarnation && known->leaves && known->recorded;
}

void DistributionCore::whenRecorded(const std::string& target, std::function<void(bool)> done, Instant now)
{
    if (isRecorded(target))
        return done(true);
    if (m_recordWaiters.size() >= MAX_RECORD_WAITERS)
        return done(false);
    m_recordWaiters.push_back({ target, now + RECORD_TIMEOUT, std::move(done) });
}

void DistributionCore::completeRecordWaiters(Instant now)
{
    auto waiters = std::move(m_recordWaiters);
    m_recordWaiters.clear();
    for (auto& it : waiters) {
        bool recorded = isRecorded(it.target);
        if (!recorded && now < it.deadline) {
            m_recordWaiters.push_back(std::move(it));
            continue;
        }
        if (!recorded)
            base::logWarn("target.departure_unrecorded",
                { { "target", it.target }, { "parent", parentId() }, { "admitted", m_admitted ? 1 : 0 } });
        it.done(recorded);
    }
}

// Drains targets of this host of which the mesh remembers, from before a restart of this node, that they leave.
void DistributionCore::applyRememberedNotices(const std::vector<wire::Presence>& targets, Instant now)
{
    for (const auto& it : targets) {
        auto local = m_localTargets.find(it.target);
        if (!it.leaves || local == m_localTargets.end())
            continue;
        auto& entry = local->second;
        bool isServing = entry.announcement.state != wire::TargetState::LEAVING
            && entry.announcement.state != wire::TargetState::GONE;
        if (!isServing || entry.announcement.incarnation != it.targetIncarnation)
            continue;
        base::logInfo("target.departure_remembered", { { "target", it.target } });
        if (it.noticeSequence == nodes::FINAL_NOTICE)
            entry.leaving = true;
        else
            entry.announcement.sequence = std::max(entry.announcement.sequence, it.noticeSequence);
        entry.announcedLeaving = true;
        entry.announcement.state = wire::TargetState::LEAVING;
        publishTarget(entry, now);
    }
}

// To be called once the directory of a parent or peer has been merged that knows all recorded departures. One that has
// just started itself may know none.
void DistributionCore::learnDirectory(Instant now)
{
    if (std::exchange(m_directoryKnown, true))
        return;
    wire::Spread out;
    out.complete = true;
    broadcastToChildren(out, {});
    takeHeldAnnouncements(now);
}

void DistributionCore::takeHeldAnnouncements(Instant now)
{
    m_holdsAnnouncements = false;
    auto held = std::move(m_heldAnnouncements);
    m_heldAnnouncements.clear();
    for (const auto& [target, it] : held)
        announce(it, now);
}

void DistributionCore::drainTarget(const std::string& target, int64_t incarnation, Instant now)
{
    auto it = m_localTargets.find(target);
    if (it == m_localTargets.end() || it->second.announcement.incarnation != incarnation)
        return;
    it->second.leaving = true;
    auto& state = it->second.announcement.state;
    if (state == wire::TargetState::LEAVING || state == wire::TargetState::GONE)
        return;
    state = wire::TargetState::LEAVING;
    publishTarget(it->second, now);
    publish(now);
}

void DistributionCore::publishTarget(LocalTarget& target, Instant now)
{
    const auto& it = target.announcement;
    wire::Presence presence;
    presence.target = it.target;
    presence.serviceName = it.serviceName;
    presence.version = it.version;
    presence.dataCentre = m_settings.dataCentre;
    presence.node = m_settings.id;
    presence.callAddress = m_settings.callAdvertised.text();
    presence.incarnation = std::max(it.incarnation, m_incarnation);
    presence.targetIncarnation = it.incarnation;
    presence.sequence = ++m_presenceSequence;
    presence.leaves = target.announcedLeaving || target.leavesForGood();
    presence.noticeSequence = target.leavesForGood() ? nodes::FINAL_NOTICE : it.sequence;
    bool isDraining = m_draining && it.state != wire::TargetState::GONE;
    presence.state = isDraining ? wire::TargetState::LEAVING : it.state;
    presence.slots = it.slots;
    presence.coldLeftMs = static_cast<int32_t>(coldLeft(target, now).count());
    target.publishedColdUntil = now + Millis(presence.coldLeftMs);
    base::logInfo("target.announced",
        { { "target", it.target }, { "service", it.serviceName }, { "version", it.version },
            { "state", static_cast<int>(presence.state) } });
    mergePresence({}, { presence }, now, true);
    publishLocalTargets();
}

void DistributionCore::expireTargets(Instant now)
{
    for (auto& [name, entry] : m_localTargets) {
        if (now < entry.leaseEnd || entry.announcement.state == wire::TargetState::GONE)
            continue;
        base::logWarn("target.lease_ended", { { "target", name } });
        entry.announcement.state = wire::TargetState::GONE;
        publishTarget(entry, now);
    }
    // The directory remembers them for as long.
    std::erase_if(m_localTargets, [now](const auto& it) {
        return it.second.announcement.state == wire::TargetState::GONE
            && now - it.second.leaseEnd > TOMBSTONE_RETENTION;
    });
}

void DistributionCore::startDraining(Instant now)
{
    m_draining = true;
    for (auto& [name, entry] : m_localTargets)
        publishTarget(entry, now);
    flushReport();
    publish(now);
}

void DistributionCore::announceStop(Instant now)
{
    ++m_sequence;
    mergePresence({ ownNodeInfo(true) }, {}, now, true);
    flushReport();
}

} // namespace pomelowind::node
