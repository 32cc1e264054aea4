#include "DistributionCore.h"

#include "pomelowind/base/Hash.h"
#include "pomelowind/base/Log.h"
#include "pomelowind/base/Packing.h"
#include "pomelowind/moves/EvidenceAggregator.h"
#include "pomelowind/nodes/PeerAddress.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace pomelowind::node {

using base::Instant;
using base::Millis;
using links::FrameKind;

namespace {

    // A parent answers a subscription well within this time, even when a whole fleet restarts.
    constexpr auto SUBSCRIBE_TIMEOUT = Millis(800);
    // A few round trips between regions. A host without power does not answer at all, and another one may already be
    // up.
    constexpr auto CONNECT_TIMEOUT = Millis(250);
    constexpr auto PARENT_CHOICE_PERIOD = Millis(1000);
    constexpr auto HEARTBEAT_PERIOD = Millis(2000);
    constexpr auto EVIDENCE_PERIOD = Millis(250);
    constexpr auto USAGE_PERIOD = Millis(100);
    constexpr auto DIGEST_PERIOD = Millis(5000);
    constexpr auto FIRST_DIGEST_DELAY = Millis(300);
    // Three beacons. Together with the time to change the parent it stays below the time limit for a version to be in
    // force.
    constexpr auto BEACON_TIMEOUT = Millis(1500);
    // A node whose version has been older than the leader's for this long subscribes again.
    constexpr auto RESUBSCRIBE_TIMEOUT = Millis(1000);
    // Nodes of the subtree whose acknowledgement is older are not reported as reachable.
    constexpr auto ACK_FRESHNESS_WINDOW = Millis(5000);
    constexpr auto TOMBSTONE_RETENTION = Millis(600000);
    // A node that starts while partitioned from the control hosts serves after it has compared its version with those
    // of peers for this long.
    constexpr auto PARTITIONED_START_WAIT = Millis(3000);
    constexpr int PARTITIONED_START_MIN_ANSWERS = 1;
    constexpr int MAX_CHILDREN = 32;

    nodes::ConfigPublisherOptions publisherOptions()
    {
        nodes::ConfigPublisherOptions out;
        out.maxChildren = MAX_CHILDREN;
        return out;
    }

    // Returns the control hosts in the order of preference: those of the own data centre first, each group in an order
    // that differs between nodes to spread the load.
    std::vector<nodes::Parent> controlParents(const NodeSettings& settings, std::vector<ControlAddress> hosts)
    {
        std::sort(hosts.begin(), hosts.end(), [&](const ControlAddress& a, const ControlAddress& b) {
            bool nearA = a.dataCentre == settings.dataCentre;
            bool nearB = b.dataCentre == settings.dataCentre;
            if (nearA != nearB)
                return nearA;
            return base::rendezvousScore(settings.id, a.id) > base::rendezvousScore(settings.id, b.id);
        });
        std::vector<nodes::Parent> out;
        for (const auto& it : hosts)
            out.push_back({ it.id, it.address, true });
        return out;
    }

}

DistributionCore::DistributionCore(
    const NodeSettings& settings, DistributionOutputs& outputs, Instant now, int64_t wallMs, uint64_t seed)
    : m_settings(settings)
    , m_outputs(outputs)
    , m_random(seed)
    , m_parentChooser(settings.id, settings.dataCentre, controlParents(settings, settings.control), seed + 1)
    , m_publisher(publisherOptions(), now)
    , m_state(std::make_shared<config::ConfigState>())
    , m_activeConfig(m_state)
    , m_routes(std::make_shared<RouteTable>())
    , m_incarnation(wallMs)
    , m_heartbeatDue(now)
    , m_digestDue(now + FIRST_DIGEST_DELAY)
    , m_started(now)
{
}

wire::NodeInfo DistributionCore::ownNodeInfo(bool isGone)
{
    wire::NodeInfo out;
    out.node = m_settings.id;
    out.dataCentre = m_settings.dataCentre;
    out.meshAddress = m_settings.meshAdvertised.text();
    out.callAddress = m_settings.callAdvertised.text();
    out.incarnation = m_incarnation;
    out.sequence = m_sequence;
    out.gone = out.stopped = isGone;
    return out;
}

bool DistributionCore::beaconIsFresh(Instant now) const
{
    return m_beaconAt != Instant() && now - m_beaconAt < BEACON_TIMEOUT;
}

// ---- the parent ----

void DistributionCore::chooseParent(Instant now)
{
    bool attemptFailed = m_parent && !m_admitted && now >= m_attemptDeadline;
    bool silent = m_parent && m_admitted && !beaconIsFresh(now) && now >= m_attemptDeadline;
    if (attemptFailed || silent) {
        base::logInfo("parent.lost",
            { { "parent", m_parent->id }, { "silent", silent ? 1 : 0 }, { "linked", m_parentConnected ? 1 : 0 } });
        m_parentChooser.onParentTimedOut(m_parent->id, now);
        m_parent.reset();
    }
    if (now < m_chooseDue && m_parent)
        return;
    m_chooseDue = now + PARENT_CHOICE_PERIOD;
    auto relays = m_settings.relays ? m_directory.liveNodes(m_settings.dataCentre) : std::vector<wire::NodeInfo>();
    auto best = m_parent ? m_parentChooser.choose(relays, now) : m_parentChooser.chooseOrFallBack(relays, now);
    // While partitioned, no node receives beacons, so the current parent is as good as any other.
    if (!best || (m_parent && (*best == *m_parent || !m_admitted)))
        return;
    m_parent = best;
    m_parentConnected = false;
    m_admitted = false;
    m_attemptDeadline = now + CONNECT_TIMEOUT;
    m_outputs.connectParent(m_parent);
}

void DistributionCore::parentReady(const std::string& parent, Instant now)
{
    if (!m_parent || parent != m_parent->id)
        return;
    m_parentConnected = true;
    m_attemptDeadline = now + SUBSCRIBE_TIMEOUT;
    subscribe(m_state->version());
}

void DistributionCore::subscribe(int64_t base)
{
    ++m_sequence;
    wire::Subscribe request;
    request.node = ownNodeInfo(false);
    request.base = base;
    request.hash = static_cast<int64_t>(m_state->hash());
    m_outputs.sendParent(FrameKind::SUBSCRIBE, base::encode(request));
}

void DistributionCore::parentClosed(const std::string& parent, Instant now)
{
    if (!m_parent || parent != m_parent->id)
        return;
    m_parentChooser.failed(m_parent->id, now);
    m_parent.reset();
    m_parentConnected = false;
    m_admitted = false;
    m_outputs.connectParent(std::nullopt);
    chooseParent(now);
}

void DistributionCore::handleSubscribeAnswer(const wire::SubscribeAnswer& answer, Instant now)
{
    if (!m_parent)
        return;
    if (!answer.admitted) {
        m_parentChooser.refused(m_parent->id, Millis(std::max(50, answer.retryAfterMs)), now);
        m_parent.reset();
        m_parentConnected = false;
        m_outputs.connectParent(std::nullopt);
        return;
    }
    m_admitted = true;
    m_freshnessDue = now;
    m_attemptDeadline = now + BEACON_TIMEOUT;
    learnControlHosts(answer.controlHosts);
    m_parentChooser.succeeded(m_parent->id);
    if (answer.fresh || m_parent->isControl)
        m_versionFloor = std::max({ m_versionFloor, answer.floor, answer.version });
    // A parent that does not run the leader's version may not know of an evacuation; the next beacon tells the floor.
    m_versionFloorKnown = m_versionFloorKnown || answer.fresh;
    base::logInfo(
        "parent.admitted", { { "parent", m_parent->id }, { "version", answer.version }, { "floor", answer.floor } });
    std::vector<wire::NodeInfo> members = answer.directory;
    members.push_back(ownNodeInfo(false));
    mergePresence(members, {}, now, false);
    reportSubtree(now);
    updateServing(now);
}

// The configured seeds may be gone by the time they are needed, so learned control hosts are used besides them.
void DistributionCore::learnControlHosts(const std::vector<std::string>& hosts)
{
    if (!m_settings.usesDiscovery || hosts.empty())
        return;
    auto all = m_settings.control;
    for (const auto& it : hosts) {
        auto address = nodes::peerAddress(it);
        bool isNew = address && std::none_of(all.begin(), all.end(), [&](const ControlAddress& host) {
            return host.address == *address;
        });
        if (isNew)
            all.push_back({ it, {}, *address });
    }
    m_parentChooser.setControlHosts(controlParents(m_settings, std::move(all)));
}

void DistributionCore::parentFrame(links::Kind kind, std::string_view payload, Instant now)
{
    switch (kind) {
    case FrameKind::SUBSCRIBE_ANSWER:
        return handleSubscribeAnswer(base::decode<wire::SubscribeAnswer>(payload), now);
    case FrameKind::DELTA:
        return applyDelta(base::decode<wire::Delta>(base::unpack(payload)), now);
    case FrameKind::SPREAD:
        return handleSpread(base::decode<wire::Spread>(payload), now);
    case FrameKind::FRESHNESS_ANSWER:
        return handleFreshnessAnswer(base::decode<wire::FreshnessAnswer>(payload));
    default:
        throw base::UserError(
            base::ErrorKind::Protocol, "unexpected frame from the parent", "run the same release on all hosts");
    }
}

// ---- configuration ----

void DistributionCore::applyDelta(const wire::Delta& delta, Instant now)
{
    auto result = m_state->apply(delta);
    switch (result.refusal) {
    case config::ApplyRefusal::None:
        break;
    case config::ApplyRefusal::Older:
        return;
    case config::ApplyRefusal::WrongBase:
    case config::ApplyRefusal::WrongHash:
        base::logWarn("config.resync_requested",
            { { "refusal", config::refusalName(result.refusal) }, { "detail", result.detail } });
        if (delta.base && m_admitted)
            subscribe(0);
        return;
    default:
        m_rejection = std::string(config::refusalName(result.refusal)) + ": " + result.detail;
        base::logError("config.rejected", { { "version", delta.version }, { "reason", m_rejection } });
        acknowledge(now);
        return;
    }
    // The new state is built beside the current one and replaces it by one pointer assignment when it is complete.
    m_accountKeys = callers::AccountKeys::update(m_accountKeys, delta, *m_state, *result.state);
    int64_t fromVersion = m_state->version();
    m_state = result.state;
    m_freshness.setVersion(m_state->version());
    m_activeConfig = std::make_shared<const config::ConfigState>(m_state->subsetForServices(m_settings.services));
    m_routes = std::make_shared<const RouteTable>(m_activeConfig);
    m_rejection.clear();
    followColdConfiguration(delta, fromVersion, now);
    m_publisher.publish(m_state);
    base::logDebug("config.applied", { { "version", m_state->version() } });
    updateServing(now);
    m_viewDirty = true;
    publish(now);
    publishToChildren();
    acknowledge(now);
}

void DistributionCore::publishToChildren()
{
    for (const auto& it : m_publisher.takePendingDeltas())
        m_outputs.sendChild(it.child, FrameKind::DELTA, *it.delta);
}

void DistributionCore::acknowledge(Instant now)
{
    wire::NodeAck ack;
    ack.node = m_settings.id;
    ack.version = m_state->version();
    ack.rejection = m_rejection;
    for (const auto& it : m_acks.merge({ ack }, now))
        m_pendingReport.acks.push_back(it);
}

bool DistributionCore::isCutOffSinceStart(Instant now) const
{
    return !beaconIsFresh(now) && now - m_started >= PARTITIONED_START_WAIT
        && m_digestAnswers >= PARTITIONED_START_MIN_ANSWERS;
}

// A restarted node has no stored state. It serves once its version is not older than the floor: the version that it
// last acknowledged to the control hosts or, while partitioned from them, the newest one that its peers run.
void DistributionCore::updateServing(Instant now)
{
    if (m_serving)
        return;
    if (!m_versionFloorKnown && isCutOffSinceStart(now)) {
        m_versionFloorKnown = true;
        base::logWarn("node.serving_partitioned", { { "floor", m_versionFloor } });
    }
    if (!m_versionFloorKnown || !m_state->version() || m_state->version() < m_versionFloor)
        return;
    m_serving = true;
    m_viewDirty = true;
    base::logInfo("node.serving", { { "version", m_state->version() }, { "floor", m_versionFloor } });
}

// ---- presence ----

void DistributionCore::mergePresence(
    const std::vector<wire::NodeInfo>& nodes, const std::vector<wire::Presence>& targets, Instant now, bool fromSubtree)
{
    auto change = m_directory.merge(nodes, targets, now);
    if (change.empty())
        return;
    m_viewDirty = true;
    applyRememberedNotices(change.targets, now);
    completeRecordWaiters(now);
    wire::Spread out;
    out.nodes = change.nodes;
    out.targets = change.targets;
    broadcastToChildren(out, {});
    if (!fromSubtree) {
        // The parent and the reporter do not know it, for example after both have restarted.
        m_pendingReport.targets.insert(m_pendingReport.targets.end(), change.corrected.begin(), change.corrected.end());
        return;
    }
    m_pendingReport.nodes.insert(m_pendingReport.nodes.end(), change.nodes.begin(), change.nodes.end());
    m_pendingReport.targets.insert(m_pendingReport.targets.end(), change.targets.begin(), change.targets.end());
}

void DistributionCore::mergeCrashes(const nodes::CrashList& crashes, Instant now, bool fromSubtree)
{
    auto changed = m_directory.mergeCrashes(crashes, now);
    if (changed.empty())
        return;
    m_crashes = std::make_shared<const nodes::CrashList>(m_directory.crashes());
    m_viewDirty = true;
    wire::Spread out;
    out.crashes = changed;
    broadcastToChildren(out, {});
    if (fromSubtree)
        m_pendingReport.crashes.insert(m_pendingReport.crashes.end(), changed.begin(), changed.end());
}

void DistributionCore::broadcastToChildren(const wire::Spread& spread, const std::string& except)
{
    std::string payload = base::encode(spread);
    for (const auto& it : m_publisher.connected()) {
        if (it != except)
            m_outputs.sendChild(it, FrameKind::SPREAD, payload);
    }
}

void DistributionCore::handleSpread(const wire::Spread& spread, Instant now)
{
    mergePresence(spread.nodes, spread.targets, now, false);
    mergeCrashes(spread.crashes, now, false);
    if (m_admitted && spread.complete)
        learnDirectory(now);
    // A beacon comes with all ratios. Between beacons, they come when they have changed.
    bool hasNewBeacon = spread.__isset.beacon && isNewer(spread.beacon);
    if (hasNewBeacon || (!spread.__isset.beacon && spread.__isset.accountRatios)) {
        setAccountRatios(spread.accountRatios);
        if (!hasNewBeacon) {
            wire::Spread out;
            out.__set_accountRatios(spread.accountRatios);
            broadcastToChildren(out, {});
        }
    }
    if (hasNewBeacon)
        handleBeacon(spread.beacon, now);
    publish(now);
}

bool DistributionCore::isNewer(const wire::Beacon& beacon) const
{
    return beacon.term > m_lastBeacon.term
        || (beacon.term == m_lastBeacon.term && beacon.sequence > m_lastBeacon.sequence);
}

void DistributionCore::setAccountRatios(std::vector<wire::AccountRatio> ratios)
{
    bool hadNone = !m_accountRatios;
    if (ratios.empty() && hadNone)
        return;
    m_accountRatios
        = ratios.empty() ? nullptr : std::make_shared<const std::vector<wire::AccountRatio>>(std::move(ratios));
    m_viewDirty = true;
}

// Sends the usage of client accounts to the parent. What cannot be sent is dropped: by the time there is a parent, it
// would be counted as calls of that moment.
void DistributionCore::flushUsage(Instant now)
{
    if (m_usage.empty())
        return;
    if (!m_admitted)
        return m_usage.clear();
    if (now < m_usageDue)
        return;
    m_usageDue = now + USAGE_PERIOD;
    m_outputs.sendParent(FrameKind::USAGE, base::encode(callers::packUsage(m_usage.take())));
}

// Precondition: the beacon is newer than the last one.
void DistributionCore::handleBeacon(const wire::Beacon& beacon, Instant now)
{
    m_lastBeacon = beacon;
    m_beaconAt = now;
    m_viewDirty = true;
    // The leader's version is at least the one that this node ran before it restarted, so it is a valid floor. It is
    // needed when the parent was not up to date at admission and could not tell the floor.
    m_versionFloorKnown = true;
    m_versionFloor = m_serving ? m_versionFloor : std::max(m_versionFloor, beacon.version);
    updateServing(now);
    wire::Spread out;
    out.__set_beacon(beacon);
    if (m_accountRatios)
        out.__set_accountRatios(*m_accountRatios);
    broadcastToChildren(out, {});
    bool behind = beacon.version > m_state->version();
    if (!behind)
        m_behindSince = Instant();
    else if (m_behindSince == Instant())
        m_behindSince = now;
    else if (now - m_behindSince >= RESUBSCRIBE_TIMEOUT && m_admitted) {
        m_behindSince = now;
        subscribe(m_state->version());
    }
}

// ---- children ----

void DistributionCore::childFrame(const std::string& child, links::Kind kind, std::string_view payload, Instant now)
{
    switch (kind) {
    case FrameKind::SUBSCRIBE:
        return handleChildSubscribe(child, base::decode<wire::Subscribe>(payload), now);
    case FrameKind::REPORT:
        return handleReport(base::decode<wire::Report>(payload), now);
    case FrameKind::USAGE:
        return m_usage.add(callers::unpackUsage(base::decode<wire::AccountUsage>(payload)));
    case FrameKind::FRESHNESS_REQUEST: {
        auto answer = m_freshness.answer(base::decode<wire::FreshnessRequest>(payload), now);
        return m_outputs.sendChild(child, FrameKind::FRESHNESS_ANSWER, base::encode(answer));
    }
    default:
        throw base::UserError(
            base::ErrorKind::Protocol, "unexpected frame from a child node", "run the same release on all hosts");
    }
}

void DistributionCore::handleChildSubscribe(const std::string& child, const wire::Subscribe& request, Instant now)
{
    wire::SubscribeAnswer answer;
    auto admission = m_draining ? nodes::Admission { false, SUBSCRIBE_TIMEOUT }
                                : m_publisher.subscribe(request.node, request.base, now);
    answer.admitted = admission.admitted;
    answer.retryAfterMs = static_cast<int32_t>(admission.retryAfter.count());
    answer.version = m_state->version();
    answer.floor = m_acks.acknowledgedVersionOf(child);
    answer.fresh = beaconIsFresh(now) && m_state->version() >= m_lastBeacon.version;
    if (answer.admitted)
        answer.directory = m_directory.liveNodes(m_settings.dataCentre);
    m_outputs.sendChild(child, FrameKind::SUBSCRIBE_ANSWER, base::encode(answer));
    if (!answer.admitted)
        return;
    wire::Spread fullState;
    fullState.complete = m_directoryKnown;
    fullState.nodes = m_directory.liveNodes();
    fullState.targets = m_directory.allTargets(now);
    fullState.crashes = m_directory.crashes();
    if (beaconIsFresh(now)) {
        fullState.__set_beacon(m_lastBeacon);
        if (m_accountRatios)
            fullState.__set_accountRatios(*m_accountRatios);
    }
    m_outputs.sendChild(child, FrameKind::SPREAD, base::encode(fullState));
    mergePresence({ request.node }, {}, now, true);
    publishToChildren();
}

void DistributionCore::childDisconnected(const std::string& child, Instant now)
{
    m_publisher.disconnected(child, now);
}

void DistributionCore::handleReport(const wire::Report& report, Instant now)
{
    mergePresence(report.nodes, report.targets, now, true);
    mergeCrashes(report.crashes, now, true);
    for (const auto& it : m_acks.merge(report.acks, now))
        m_pendingReport.acks.push_back(it);
    m_pendingReport.alarms.insert(m_pendingReport.alarms.end(), report.alarms.begin(), report.alarms.end());
    m_pendingReport.evidence.insert(m_pendingReport.evidence.end(), report.evidence.begin(), report.evidence.end());
    publish(now);
}

void DistributionCore::addReport(const wire::Report& report, Instant now)
{
    if (report.__isset.usage) {
        m_usage.add(callers::unpackUsage(report.usage));
        flushUsage(now);
    }
    mergeCrashes(report.crashes, now, true);
    m_pendingReport.alarms.insert(m_pendingReport.alarms.end(), report.alarms.begin(), report.alarms.end());
    m_pendingReport.evidence.insert(m_pendingReport.evidence.end(), report.evidence.begin(), report.evidence.end());
}

// Reports all of this node's subtree, and the crashes that it knows, to a new parent.
void DistributionCore::reportSubtree(Instant now)
{
    wire::Report report;
    report.nodes.push_back(ownNodeInfo(false));
    report.acks = m_acks.recentAcks(now, ACK_FRESHNESS_WINDOW);
    for (const auto& it : report.acks) {
        const auto* node = m_directory.findNode(it.node);
        if (node && it.node != m_settings.id)
            report.nodes.push_back(*node);
    }
    for (const auto& it : m_directory.allTargets(now)) {
        bool inSubtree = std::any_of(
            report.nodes.begin(), report.nodes.end(), [&](const wire::NodeInfo& n) { return n.node == it.node; });
        if (inSubtree)
            report.targets.push_back(it);
    }
    report.crashes = m_directory.crashes();
    m_outputs.sendParent(FrameKind::REPORT, base::encode(report));
}

void DistributionCore::flushReport()
{
    if (!m_admitted) {
        // Presence and acknowledgements are reported again on admission; evidence of these periods is lost.
        m_pendingReport = {};
        return;
    }
    wire::Report out = std::move(m_pendingReport);
    m_pendingReport = {};
    out.evidence = moves::mergeCells(out.evidence);
    m_outputs.sendParent(FrameKind::REPORT, base::encode(out));
}

// ---- digests ----

std::string DistributionCore::answerDigest(std::string_view payload, Instant now) const
{
    auto digest = base::decode<wire::Digest>(payload);
    wire::DigestAnswer answer;
    answer.version = m_state->version();
    if (m_state->version() > digest.version)
        answer.__set_delta(m_state->deltaSince(digest.version));
    auto differing = m_directory.entriesDifferingFrom(digest.buckets, now);
    answer.nodes = std::move(differing.nodes);
    answer.targets = std::move(differing.targets);
    answer.complete = m_directoryKnown;
    return base::encode(answer);
}

void DistributionCore::startDigestExchange(Instant now)
{
    auto jitter = Millis(static_cast<int64_t>(m_random.uniformBelow(DIGEST_PERIOD.count() / 2)));
    m_digestDue = now + (m_serving && !m_holdsAnnouncements ? DIGEST_PERIOD : PARTITIONED_START_WAIT / 4) + jitter;
    std::vector<base::Address> peers = m_serving ? std::vector<base::Address>() : m_settings.seeds;
    for (const auto& it : m_directory.liveNodes(m_settings.dataCentre)) {
        auto address = it.node == m_settings.id ? std::nullopt : nodes::peerAddress(it.meshAddress);
        if (address)
            peers.push_back(*address);
    }
    std::erase(peers, m_settings.meshAdvertised);
    if (peers.empty())
        return;
    wire::Digest digest;
    digest.version = m_state->version();
    digest.hash = static_cast<int64_t>(m_state->hash());
    for (uint64_t it : m_directory.digest())
        digest.buckets.push_back(static_cast<int64_t>(it));
    m_outputs.exchangeDigest(peers[m_random.uniformBelow(peers.size())], base::encode(digest));
}

void DistributionCore::digestAnswered(std::string_view payload, Instant now)
{
    auto answer = base::decode<wire::DigestAnswer>(payload);
    ++m_digestAnswers;
    m_versionFloor = std::max(m_versionFloor, m_serving ? m_versionFloor : answer.version);
    mergePresence(answer.nodes, answer.targets, now, true);
    if (answer.complete)
        learnDirectory(now);
    if (answer.__isset.delta)
        applyDelta(answer.delta, now);
    updateServing(now);
    publish(now);
}

// ---- periodic work ----

void DistributionCore::tick(Instant now)
{
    chooseParent(now);
    expireTargets(now);
    completeRecordWaiters(now);
    std::vector<wire::NodeInfo> expired = m_publisher.takeExpiredSubscribers(now);
    for (auto& it : expired)
        it.gone = true;
    mergePresence(expired, {}, now, true);
    m_directory.expire(now, TOMBSTONE_RETENTION);
    if (now >= m_heartbeatDue) {
        m_heartbeatDue = now + HEARTBEAT_PERIOD;
        acknowledge(now);
        m_pendingReport.acks = m_acks.recentAcks(now, ACK_FRESHNESS_WINDOW);
    }
    if (now >= m_digestDue)
        startDigestExchange(now);
    updateServing(now);
    // A node without contact to the control hosts serves with what its peers know. Departures that they lack drain the
    // targets later.
    if (m_holdsAnnouncements && m_serving && isCutOffSinceStart(now)) {
        base::logWarn("node.directory_partitioned", { { "held", m_heldAnnouncements.size() } });
        takeHeldAnnouncements(now);
    }
    tickLease(now);
    flushUsage(now);
    bool urgent = !m_pendingReport.nodes.empty() || !m_pendingReport.targets.empty() || !m_pendingReport.acks.empty()
        || !m_pendingReport.alarms.empty() || !m_pendingReport.crashes.empty();
    bool evidenceDue = now >= m_evidenceDue && !m_pendingReport.evidence.empty();
    if (evidenceDue)
        m_evidenceDue = now + EVIDENCE_PERIOD;
    if (urgent || evidenceDue)
        flushReport();
    publish(now);
}

void DistributionCore::publish(Instant now)
{
    if (!std::exchange(m_viewDirty, false))
        return;
    auto view = std::make_shared<MeshView>();
    view->config = m_activeConfig;
    view->routes = m_routes;
    view->accountKeys = m_accountKeys;
    view->keysHonouredUntil = keysHonouredUntil();
    view->targets = std::make_shared<const nodes::TargetList>(m_directory.liveTargets(now));
    view->targetsAt = now;
    view->crashes = m_crashes;
    view->claimsThroughMs = m_lastBeacon.claimsThroughMs;
    view->beaconAt = m_beaconAt;
    view->accountRatios = m_accountRatios;
    if (m_accountKeys && !m_accountKeys->empty())
        std::tie(view->nodes, view->place) = m_directory.countLiveNodes(m_settings.id);
    view->serving = m_serving;
    m_outputs.publish(std::move(view));
}

} // namespace pomelowind::node
