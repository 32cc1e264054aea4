#include "ControlCore.h"

#include "EvacuationOrders.h"
#include "SystemCommand.h"
#include "pomelowind/base/Log.h"
#include "pomelowind/base/Packing.h"
#include "pomelowind/members/MembershipPlanner.h"
#include "pomelowind/moves/MoveMachine.h"

namespace pomelowind::control {

using base::Millis;
using links::FrameKind;
using members::OutgoingMessage;
using members::Ready;

namespace {

    constexpr auto SUBMISSION_TIMEOUT = Millis(5000);
    constexpr auto BARRIER_TIMEOUT = Millis(2000);
    // Time for the nodes to report themselves to a control host that has just started.
    constexpr auto DIRECTORY_COLLECTION_TIME = Millis(10000);
    constexpr auto BEACON_PERIOD = Millis(500);
    constexpr auto EVIDENCE_BATCH_PERIOD = Millis(250);
    // Tombstones and acknowledgements of absent nodes are kept this long.
    constexpr auto TOMBSTONE_RETENTION = Millis(600000);
    // Retry delay for subscribers of a host without recent state. An election takes a few hundred milliseconds, and
    // nodes that restart together with the control hosts have to wait for it.
    constexpr auto STALE_HOST_RETRY_DELAY = Millis(100);
    constexpr auto ANNOUNCE_PERIOD = Millis(500);
    constexpr auto MEMBERSHIP_CHECK_PERIOD = Millis(200);
    // A voter without contact for this long is replaced. The group then survives the loss of another voter, even before
    // a replacement for that one has caught up.
    constexpr auto VOTER_REPLACEMENT_TIMEOUT = Millis(2500);
    constexpr auto MEMBER_REMOVAL_TIMEOUT = Millis(120000);
    // Writes that may wait for the disk, below the capacity of its queue. A host with more takes no part in the group
    // until its disk has caught up.
    constexpr int MAX_OUTSTANDING_DISK_WORK = 1024;
    // A snapshot is written when the commands since the last one have this many times its size. This bounds the replay
    // at start, and limits the cost of writing snapshots to a fraction of the cost of applying the commands.
    constexpr size_t SNAPSHOT_REPLAY_RATIO = 4;
    constexpr size_t MIN_REPLAY_BYTES = 256 * 1024;

    members::ReplicaOptions replicaOptions(const ControlSettings& settings, uint64_t seed)
    {
        members::ReplicaOptions out;
        out.self = settings.id;
        out.electionTimeout = settings.electionTimeout;
        out.heartbeatInterval = settings.heartbeatInterval;
        out.seed = seed;
        out.retainedEntries = static_cast<size_t>(settings.retainedEntries);
        return out;
    }

    wire::CommandResult unavailable(const std::string& message)
    {
        wire::CommandResult out;
        out.code = wire::ResultCode::UNAVAILABLE;
        out.message = message;
        out.remedy = "send it again with the same request id; it cannot be carried out twice";
        return out;
    }

    // Clears a flag at the end of its scope, also when an exception leaves it.
    class FlagReset {
    public:
        explicit FlagReset(bool& flag)
            : m_flag(flag)
        {
        }
        ~FlagReset() { m_flag = false; }
        FlagReset(const FlagReset&) = delete;
        FlagReset& operator=(const FlagReset&) = delete;

    private:
        bool& m_flag;
    };

    struct EncodedMessage {
        links::Kind kind;
        std::string payload;
    };

    EncodedMessage encodeMessage(const members::Message& message)
    {
        return std::visit(
            [](const auto& it) -> EncodedMessage {
                using T = std::decay_t<decltype(it)>;
                if constexpr (std::is_same_v<T, wire::VoteRequest>)
                    return { FrameKind::VOTE_REQUEST, base::encode(it) };
                else if constexpr (std::is_same_v<T, wire::VoteAnswer>)
                    return { FrameKind::VOTE_ANSWER, base::encode(it) };
                else if constexpr (std::is_same_v<T, wire::AppendRequest>)
                    return { FrameKind::APPEND_REQUEST, base::encode(it) };
                else if constexpr (std::is_same_v<T, wire::AppendAnswer>)
                    return { FrameKind::APPEND_ANSWER, base::encode(it) };
                else
                    return { FrameKind::SNAPSHOT_REQUEST, base::encode(it) };
            },
            message);
    }

}

ControlCore::ControlCore(const ControlSettings& settings, members::DurableState durable, ControlOutputs& outputs,
    base::Instant now, int64_t wallMs, uint64_t seed)
    : m_settings(settings)
    , m_outputs(outputs)
    , m_dataCentres(settings.dataCentres)
    , m_started(now)
    , m_now(now)
    , m_wallMs(wallMs)
    , m_replica(replicaOptions(settings, seed), durable, now)
    , m_publisher({}, now)
    , m_epochPlanner(settings.claimLead)
    , m_quota(settings.quota)
{
    if (const auto& snapshot = m_replica.snapshot())
        restoreSnapshot(*snapshot);
    for (const auto& it : m_settings.members)
        m_lastContact[it.id];
    publish();
}

// The bootstrap snapshot has an empty state: it carries only the membership.
void ControlCore::restoreSnapshot(const wire::SnapshotRecord& snapshot)
{
    if (snapshot.state.empty())
        m_machine = config::ConfigMachine();
    else
        m_machine.restore(base::decode<wire::MachineImage>(snapshot.state));
    std::vector<wire::Departure> departures;
    for (const auto& [target, it] : m_machine.departures())
        departures.push_back(it);
    addRecordedDepartures(departures);
    m_appliedIndex = snapshot.index;
    m_snapshotIndex = snapshot.index;
    m_snapshotBytes = snapshot.state.size();
    m_bytesSinceSnapshot = 0;
}

void ControlCore::setTime(base::Instant now, int64_t wallMs)
{
    m_now = now;
    m_wallMs = wallMs;
}

// ---- the log ----

void ControlCore::processReady()
{
    if (m_processingReady)
        return;
    m_processingReady = true;
    FlagReset reset(m_processingReady);
    for (Ready ready = m_replica.takeReady(); ready.needsPersist() || !ready.messages.empty()
         || !ready.messagesAfterPersist.empty() || !ready.committed.empty();
         ready = m_replica.takeReady())
        handleReady(std::move(ready));
    m_processingReady = false;
    logRoleChange();
    publish();
    maybeSnapshot();
}

void ControlCore::logRoleChange()
{
    std::string role = m_replica.isLeader() ? "leader" : "follower";
    std::string roleAndTerm = role + "/" + std::to_string(m_replica.term()) + "/" + m_replica.leader();
    if (roleAndTerm == m_loggedRole)
        return;
    m_loggedRole = roleAndTerm;
    base::logInfo("replica.role", { { "role", role }, { "term", m_replica.term() }, { "leader", m_replica.leader() } });
}

void ControlCore::handleReady(Ready ready)
{
    sendMessages(ready.messages);
    ready.messages.clear();
    auto committed = std::move(ready.committed);
    ready.committed.clear();
    if (ready.snapshotToInstall) {
        restoreSnapshot(*ready.snapshotToInstall);
    }
    // Messages that depend on durable state are sent in the order of the writes: while a write is outstanding, later
    // ones pass through the disk queue too.
    if (ready.needsPersist() || (m_outstandingDiskWork && !ready.messagesAfterPersist.empty())) {
        DiskWork work;
        work.hardState = m_replica.hardState();
        work.ready = std::move(ready);
        ++m_outstandingDiskWork;
        if (!m_outputs.persist(std::move(work)))
            throw base::InternalFault("the disk write queue is full");
    } else {
        sendMessages(ready.messagesAfterPersist);
    }
    for (const auto& it : committed)
        applyEntry(it);
}

void ControlCore::sendMessages(const std::vector<OutgoingMessage>& messages)
{
    for (const auto& it : messages) {
        auto encoded = encodeMessage(it.message);
        m_outputs.sendToMember(it.to, encoded.kind, std::move(encoded.payload));
    }
}

void ControlCore::applyEntry(const wire::Entry& entry)
{
    m_appliedIndex = entry.index;
    wire::CommandResult result;
    if (entry.kind == wire::EntryKind::COMMAND) {
        result = applyCommand(entry);
    }
    completeProposal(entry, result);
    completeReads();
}

// A committed command that cannot be decoded is refused: every host finds the same, and a host that stopped at it would
// stop at it again after each restart.
wire::CommandResult ControlCore::applyCommand(const wire::Entry& entry)
{
    wire::Command command;
    try {
        auto plain = base::unpack(entry.data);
        m_bytesSinceSnapshot += plain.size();
        command = base::decode<wire::Command>(plain);
    } catch (const base::UserError& e) {
        base::logError("command.unreadable", { { "index", entry.index }, { "error", e.what() } });
        wire::CommandResult out;
        out.code = wire::ResultCode::INVALID;
        out.message = "the command cannot be read";
        out.remedy = e.remedy();
        return out;
    }
    auto result = m_machine.apply(entry.index, command);
    base::logInfo("command.applied",
        { { "index", entry.index }, { "kind", config::commandKindName(command.kind) }, { "actor", command.actor },
            { "result", config::resultCodeName(result.code) }, { "version", m_machine.state().version() },
            { "request", command.requestId }, { "detail", result.message } });
    if (command.kind == wire::CommandKind::MOVE_EVENT)
        logMoveEvent(command.moveEvent);
    if (command.kind == wire::CommandKind::RECORD_DEPARTURES)
        addRecordedDepartures(command.departures);
    return result;
}

void ControlCore::logMoveEvent(const wire::MoveEvent& event) const
{
    const auto* move = m_machine.findMove(event.moveId);
    if (!move)
        return;
    auto evidence = m_moveDriver.evidence(event.moveId);
    base::logInfo("move.changed",
        { { "move", move->id }, { "state", moves::moveStateName(move->state) }, { "permille", move->permille },
            { "reason", event.reason }, { "candidate_calls", evidence.candidate.calls },
            { "candidate_faults", evidence.candidate.faults }, { "stable_calls", evidence.stable.calls },
            { "stable_faults", evidence.stable.faults } });
}

void ControlCore::completeProposal(const wire::Entry& entry, const wire::CommandResult& result)
{
    auto it = m_pendingProposals.find(entry.index);
    if (it == m_pendingProposals.end())
        return;
    auto pending = std::move(it->second);
    m_pendingProposals.erase(it);
    // An entry of another term at this index means that a new leader has overwritten this host's proposal.
    pending.reply(pending.term == entry.term ? result : unavailable("the leader changed before this was accepted"));
}

// Fails the requests that were forwarded to a previous leader, so that their senders can retry at once instead of
// waiting for the timeout.
void ControlCore::failForwardsToPreviousLeader()
{
    if (m_replica.leader() == m_forwardedTo)
        return;
    m_forwardedTo = m_replica.leader();
    auto failed = std::move(m_pendingForwards);
    m_pendingForwards.clear();
    for (auto& [id, pending] : failed)
        pending.reply(unavailable("the leader changed before it answered"));
}

void ControlCore::expireRequests()
{
    for (auto* map : { &m_pendingProposals, &m_pendingForwards }) {
        for (auto it = map->begin(); it != map->end();) {
            if (m_now < it->second.deadline) {
                ++it;
                continue;
            }
            auto pending = std::move(it->second);
            it = map->erase(it);
            pending.reply(unavailable("no majority of the control hosts answered in time"));
        }
    }
}

void ControlCore::endRequests()
{
    for (auto* map : { &m_pendingProposals, &m_pendingForwards }) {
        auto ended = std::move(*map);
        map->clear();
        for (auto& [id, pending] : ended)
            pending.reply(unavailable("this control host stops before the others have answered"));
    }
    auto reads = std::move(m_pendingReads);
    m_pendingReads.clear();
    for (auto& [index, done] : reads)
        done(false);
}

void ControlCore::maybeSnapshot()
{
    bool isDue = m_appliedIndex - m_snapshotIndex >= m_settings.snapshotEvery
        || m_bytesSinceSnapshot >= std::max(MIN_REPLAY_BYTES, SNAPSHOT_REPLAY_RATIO * m_snapshotBytes);
    if (m_snapshotInFlight || !isDue)
        return;
    DiskWork work;
    work.snapshot = wire::SnapshotRecord();
    work.snapshot->index = m_appliedIndex;
    work.snapshot->term = m_replica.termAt(m_appliedIndex);
    work.snapshot->membership = m_replica.membershipAt(m_appliedIndex);
    work.snapshot->state = base::encode(m_machine.image());
    m_snapshotBytes = work.snapshot->state.size();
    m_bytesSinceSnapshot = 0;
    ++m_outstandingDiskWork;
    m_snapshotInFlight = m_outputs.persist(std::move(work));
}

void ControlCore::handleDiskResult(DiskResult result, base::Instant now)
{
    m_now = now;
    --m_outstandingDiskWork;
    if (result.snapshot) {
        m_snapshotInFlight = false;
        m_snapshotIndex = result.snapshot->index;
        m_replica.onSnapshotPersisted(std::move(*result.snapshot));
    }
    if (result.lastIndex)
        m_replica.onPersisted(result.lastIndex, result.lastTerm);
    sendMessages(result.send);
    processReady();
}

// A disk that has been full or stalled for long. What the group would ask of this host could not be made durable, so
// the host is silent like one that is down: another one leads, and a learner takes its place as a voter.
bool ControlCore::isDiskBehind() const { return m_outstandingDiskWork >= MAX_OUTSTANDING_DISK_WORK; }

void ControlCore::logDiskBacklog()
{
    if (std::exchange(m_loggedDiskBehind, isDiskBehind()) != isDiskBehind())
        base::logWarn("disk.backlog", { { "behind", isDiskBehind() ? 1 : 0 }, { "writes", m_outstandingDiskWork } });
}

// ---- submissions ----

void ControlCore::submit(wire::Command command, SubmissionReply reply, base::Instant now, int64_t wallMs)
{
    setTime(now, wallMs);
    if (isDiskBehind())
        return reply(unavailable("the disk of this control host is full or stalled"));
    // An order that is delayed between the hosts must not undo a later one, so it carries the state that it is based
    // on.
    if (config::isEvacuationOrder(command) && command.baseVersion == config::ANY_BASE_VERSION)
        command.baseVersion = m_machine.state().versionOf(config::evacuationKey(command.name));
    if (m_replica.isLeader()) {
        command.timeMs = wallMs;
        if (auto refusal = checkEvacuationOrder(command))
            return reply(*refusal);
        auto index = m_replica.propose(wire::EntryKind::COMMAND, base::pack(base::encode(command)), now);
        if (!index) {
            wire::CommandResult busy = unavailable("too many submissions are in flight");
            busy.code = wire::ResultCode::BUSY;
            return reply(busy);
        }
        m_pendingProposals[*index] = { m_replica.term(), std::move(reply), now + SUBMISSION_TIMEOUT };
        return processReady();
    }
    if (m_replica.leader().empty())
        return reply(unavailable("the control hosts have no leader now"));
    wire::ForwardRequest request;
    request.id = m_nextForwardId++;
    request.command = base::pack(base::encode(command));
    m_pendingForwards[request.id] = { 0, std::move(reply), now + SUBMISSION_TIMEOUT };
    m_outputs.sendToMember(m_replica.leader(), FrameKind::FORWARD_REQUEST, base::encode(request));
}

std::optional<wire::CommandResult> ControlCore::checkEvacuationOrder(const wire::Command& command) const
{
    if (!config::isEvacuationOrder(command))
        return std::nullopt;
    EvacuationCheck check;
    check.dataCentre = command.name;
    check.settings = m_dataCentres;
    check.evacuated = m_machine.state().evacuatedDataCentres();
    check.isCertain = m_replica.hasCommittedInTerm() && m_replica.hasLease(m_now);
    if (m_dataCentres.empty()) {
        check.directory = dataCentresOf(m_directory);
        check.isCertain = check.isCertain && m_now - m_started >= DIRECTORY_COLLECTION_TIME;
    }
    return refusalOf(check);
}

void ControlCore::handleForwardRequest(const std::string& member, const wire::ForwardRequest& request)
{
    wire::ForwardAnswer answer;
    answer.id = request.id;
    bool isBarrier = request.command.empty();
    if (isDiskBehind() || !m_replica.isLeader()
        || (isBarrier && !(m_replica.hasCommittedInTerm() && m_replica.hasLease(m_now)))) {
        answer.notLeader = true;
        return m_outputs.sendToMember(member, FrameKind::FORWARD_ANSWER, base::encode(answer));
    }
    if (isBarrier) {
        wire::CommandResult result;
        result.version = m_replica.commitIndex();
        answer.result = base::encode(result);
        return m_outputs.sendToMember(member, FrameKind::FORWARD_ANSWER, base::encode(answer));
    }
    auto reply = [this, member, answer](const wire::CommandResult& result) {
        auto full = answer;
        full.result = base::encode(result);
        m_outputs.sendToMember(member, FrameKind::FORWARD_ANSWER, base::encode(full));
    };
    submit(base::decode<wire::Command>(base::unpack(request.command)), reply, m_now, m_wallMs);
}

void ControlCore::handleForwardAnswer(const wire::ForwardAnswer& answer)
{
    auto it = m_pendingForwards.find(answer.id);
    if (it == m_pendingForwards.end())
        return;
    auto pending = std::move(it->second);
    m_pendingForwards.erase(it);
    if (answer.notLeader)
        return pending.reply(unavailable("the leader has just changed"));
    pending.reply(base::decode<wire::CommandResult>(answer.result));
}

// A follower asks the leader for its commit index and waits until it has applied that index, so that operators read
// their own accepted submissions on any host. The leader needs only its lease.
void ControlCore::readBarrier(BarrierDone done, base::Instant now)
{
    m_now = now;
    if (isDiskBehind())
        return done(false);
    if (m_replica.hasCommittedInTerm() && m_replica.hasLease(now))
        return done(true);
    if (m_replica.isLeader() || m_replica.leader().empty())
        return done(false);
    wire::ForwardRequest request;
    request.id = m_nextForwardId++;
    auto reply = [this, done](const wire::CommandResult& result) {
        if (result.code != wire::ResultCode::ACCEPTED)
            return done(false);
        m_pendingReads.emplace(result.version, done);
        completeReads();
    };
    m_pendingForwards[request.id] = { 0, reply, now + BARRIER_TIMEOUT };
    m_outputs.sendToMember(m_replica.leader(), FrameKind::FORWARD_REQUEST, base::encode(request));
}

void ControlCore::completeReads()
{
    while (!m_pendingReads.empty() && m_pendingReads.begin()->first <= m_appliedIndex) {
        auto done = std::move(m_pendingReads.begin()->second);
        m_pendingReads.erase(m_pendingReads.begin());
        done(true);
    }
}

bool ControlCore::changeMembers(const wire::Membership& next, base::Instant now)
{
    m_now = now;
    bool accepted = m_replica.proposeMembership(next, now).has_value();
    processReady();
    return accepted;
}

// ---- members ----

void ControlCore::handleMemberFrame(
    const std::string& member, links::Kind kind, std::string_view payload, base::Instant now, int64_t wallMs)
{
    setTime(now, wallMs);
    recordContact(member);
    bool isOfReplica = kind >= FrameKind::VOTE_REQUEST && kind <= FrameKind::SNAPSHOT_REQUEST;
    if (isOfReplica && isDiskBehind())
        return;
    switch (kind) {
    case FrameKind::VOTE_REQUEST:
        m_replica.receive(member, base::decode<wire::VoteRequest>(payload), now);
        break;
    case FrameKind::VOTE_ANSWER:
        m_replica.receive(member, base::decode<wire::VoteAnswer>(payload), now);
        break;
    case FrameKind::APPEND_REQUEST:
        m_replica.receive(member, base::decode<wire::AppendRequest>(payload), now);
        break;
    case FrameKind::APPEND_ANSWER:
        m_replica.receive(member, base::decode<wire::AppendAnswer>(payload), now);
        break;
    case FrameKind::SNAPSHOT_REQUEST:
        m_replica.receive(member, base::decode<wire::SnapshotRequest>(payload), now);
        break;
    case FrameKind::FORWARD_REQUEST:
        handleForwardRequest(member, base::decode<wire::ForwardRequest>(payload));
        break;
    case FrameKind::FORWARD_ANSWER:
        handleForwardAnswer(base::decode<wire::ForwardAnswer>(payload));
        break;
    case FrameKind::MEMBER_REPORT:
        handleMemberReport(member, base::decode<wire::MemberReport>(payload));
        break;
    case FrameKind::FRESHNESS_REQUEST:
        m_outputs.sendToMember(member, FrameKind::FRESHNESS_ANSWER,
            base::encode(answerFreshness(base::decode<wire::FreshnessRequest>(payload))));
        break;
    case FrameKind::FRESHNESS_ANSWER:
        m_freshness.onAnswer(base::decode<wire::FreshnessAnswer>(payload));
        break;
    default:
        throw base::UserError(
            base::ErrorKind::Protocol, "unexpected frame from a control host", "run the same release on all hosts");
    }
    processReady();
}

void ControlCore::handleMemberConnected(const std::string& member)
{
    recordContact(member);
    wire::MemberReport report;
    report.members = votersAndLearners();
    report.report.nodes = m_directory.allNodes();
    report.report.targets = m_directory.allTargets(m_now);
    report.report.crashes = m_directory.crashes();
    report.report.acks = m_acks.recentAcks(m_now, TOMBSTONE_RETENTION);
    if (!m_accountRatios.empty())
        report.__set_accountRatios(m_accountRatios);
    m_outputs.sendToMember(member, FrameKind::MEMBER_REPORT, base::encode(report));
}

void ControlCore::recordContact(const std::string& member)
{
    if (m_settings.usesDiscovery)
        m_lastContact[member] = m_now;
}

std::vector<std::string> ControlCore::votersAndLearners() const
{
    std::vector<std::string> out = m_replica.membership().voters;
    const auto& learners = m_replica.membership().learners;
    out.insert(out.end(), learners.begin(), learners.end());
    return out;
}

// Broadcasts the members that this host knows. A host that is not a member yet becomes known by it; members learn from
// it which hosts to connect to.
void ControlCore::announceMembers()
{
    if (!m_settings.usesDiscovery || m_now < m_announceDue)
        return;
    m_announceDue = m_now + ANNOUNCE_PERIOD;
    wire::MemberReport report;
    report.members = votersAndLearners();
    broadcastToMembers(report);
}

void ControlCore::proposeMembershipChange()
{
    if (!m_settings.usesDiscovery || m_now < m_membershipDue)
        return;
    m_membershipDue = m_now + MEMBERSHIP_CHECK_PERIOD;
    std::vector<members::HostStatus> hosts;
    hosts.push_back({ m_settings.id, true, false, true, false });
    for (const auto& [id, lastContact] : m_lastContact) {
        if (id == m_settings.id)
            continue;
        members::HostStatus host;
        host.id = id;
        host.reachable = lastContact != base::Instant() && m_now - lastContact < VOTER_REPLACEMENT_TIMEOUT;
        host.expired = m_now - lastContact >= MEMBER_REMOVAL_TIMEOUT;
        if (auto status = m_replica.peerStatus(id)) {
            host.caughtUp = status->caughtUp;
            host.recovering = status->recovering;
            host.reachable = host.reachable && m_now - status->lastAck < VOTER_REPLACEMENT_TIMEOUT;
        }
        hosts.push_back(host);
    }
    auto next = members::planMembership(m_replica.membership(), hosts, m_settings.id,
        members::votersToTolerate(static_cast<size_t>(m_settings.toleratedLosses)));
    if (next && m_replica.proposeMembership(*next, m_now))
        base::logInfo("members.proposed",
            { { "voters", next->voters.size() }, { "learners", next->learners.size() }, { "term", m_replica.term() } });
}

void ControlCore::handleMemberReport(const std::string& member, const wire::MemberReport& report)
{
    for (const auto& it : report.members) {
        if (m_settings.usesDiscovery && it != m_settings.id && m_lastContact.emplace(it, base::Instant()).second)
            m_outputs.connectMember(it);
    }
    mergeReport(report.report, false);
    if (report.report.__isset.usage && m_leadsQuota)
        m_quota.addUsage(callers::unpackUsage(report.report.usage), m_now);
    if (!report.__isset.beacon) {
        // Ratios that come late from an earlier leader are ignored; each beacon carries all of them.
        if (report.__isset.accountRatios && member == m_replica.leader()) {
            m_accountRatios = report.accountRatios;
            wire::Spread out;
            out.__set_accountRatios(m_accountRatios);
            broadcastToNodes(out);
        } else if (report.__isset.accountRatios && m_accountRatios.empty() && !m_leadsQuota) {
            // This host has just started, and may lead before it hears of ratios otherwise.
            m_accountRatios = report.accountRatios;
        }
        return;
    }
    bool newer = report.beacon.term > m_lastBeacon.term
        || (report.beacon.term == m_lastBeacon.term && report.beacon.sequence > m_lastBeacon.sequence);
    if (!newer)
        return;
    m_lastBeacon = report.beacon;
    m_accountRatios = report.accountRatios;
    wire::Spread out;
    out.__set_beacon(report.beacon);
    if (!m_accountRatios.empty())
        out.__set_accountRatios(m_accountRatios);
    broadcastToNodes(out);
}

void ControlCore::broadcastToMembers(const wire::MemberReport& report)
{
    std::string payload = base::encode(report);
    std::set<std::string> recipients;
    for (const auto& it : m_settings.members)
        recipients.insert(it.id);
    for (const auto& [id, lastContact] : m_lastContact)
        recipients.insert(id);
    recipients.erase(m_settings.id);
    for (const auto& it : recipients)
        m_outputs.sendToMember(it, FrameKind::MEMBER_REPORT, payload);
}

// ---- nodes ----

void ControlCore::handleNodeFrame(
    const std::string& node, links::Kind kind, std::string_view payload, base::Instant now, int64_t wallMs)
{
    setTime(now, wallMs);
    switch (kind) {
    case FrameKind::SUBSCRIBE:
        handleSubscribe(node, base::decode<wire::Subscribe>(payload));
        break;
    case FrameKind::REPORT:
        mergeReport(base::decode<wire::Report>(payload), true);
        processReady();
        break;
    case FrameKind::USAGE:
        m_usage.add(callers::unpackUsage(base::decode<wire::AccountUsage>(payload)));
        break;
    case FrameKind::FRESHNESS_REQUEST:
        m_freshnessAskedAt = m_now;
        m_outputs.sendToNode(node, FrameKind::FRESHNESS_ANSWER,
            base::encode(answerFreshness(base::decode<wire::FreshnessRequest>(payload))));
        break;
    default:
        throw base::UserError(
            base::ErrorKind::Protocol, "unexpected frame from a node", "run the same release on all hosts");
    }
}

void ControlCore::handleSubscribe(const std::string& node, const wire::Subscribe& request)
{
    wire::SubscribeAnswer answer;
    nodes::Admission admission { false, STALE_HOST_RETRY_DELAY };
    // A host without contact to the leader may be partitioned and have outdated state, so it admits no subscribers.
    if (m_replica.hasRecentState(m_now))
        admission = m_publisher.subscribe(request.node, request.base, m_now);
    answer.admitted = admission.admitted;
    answer.retryAfterMs = static_cast<int32_t>(admission.retryAfter.count());
    answer.version = m_machine.state().version();
    answer.floor = m_acks.acknowledgedVersionOf(node);
    answer.fresh = runsNewestVersion();
    if (m_settings.usesDiscovery)
        answer.controlHosts = votersAndLearners();
    if (admission.admitted)
        answer.directory = m_directory.liveNodes(request.node.dataCentre);
    m_outputs.sendToNode(node, FrameKind::SUBSCRIBE_ANSWER, base::encode(answer));
    if (!admission.admitted)
        return;
    // Sent before anything else is spread, so that the node has the whole directory once it is told that it is
    // complete.
    wire::Spread presence;
    presence.nodes = m_directory.liveNodes();
    presence.targets = m_directory.allTargets(m_now);
    presence.crashes = m_directory.crashes();
    if (!m_accountRatios.empty())
        presence.__set_accountRatios(m_accountRatios);
    m_outputs.sendToNode(node, FrameKind::SPREAD, base::encode(presence));
    // A proof that is in flight may be older than this subscription.
    m_directoriesInProof.erase(node);
    m_unprovenDirectories.insert(node);
    proveDirectories();
    wire::Report report;
    report.nodes.push_back(request.node);
    mergeReport(report, true);
    publish();
}

// A host that has just started, or that is catching up, may lack changes that were acknowledged long ago.
bool ControlCore::runsNewestVersion() const
{
    if (m_replica.isLeader())
        return m_replica.hasCommittedInTerm();
    return m_lastBeacon.term == m_replica.term() && m_machine.state().version() >= m_lastBeacon.version;
}

void ControlCore::handleNodeDisconnected(const std::string& node, base::Instant now)
{
    m_publisher.disconnected(node, now);
}

void ControlCore::mergeReport(const wire::Report& report, bool fromNode)
{
    auto change = m_directory.merge(report.nodes, report.targets, m_now);
    recordReportedDepartures(change);
    auto changedAcks = m_acks.merge(report.acks, m_now);
    m_moveDriver.addEvidence(report.evidence, m_machine);
    m_moveDriver.addAlarms(report.alarms);
    auto changedCrashes = m_directory.mergeCrashes(report.crashes, m_now);
    if (!change.empty() || !changedCrashes.empty()) {
        wire::Spread out;
        out.crashes = changedCrashes;
        out.nodes = change.nodes;
        out.targets = change.targets;
        broadcastToNodes(out);
    }
    if (!fromNode)
        return;
    wire::MemberReport forwarded;
    forwarded.report = report;
    forwarded.report.nodes = change.nodes;
    forwarded.report.targets = change.targets;
    forwarded.report.crashes = changedCrashes;
    broadcastToMembers(forwarded);
}

void ControlCore::broadcastToNodes(const wire::Spread& spread)
{
    std::string payload = base::encode(spread);
    for (const auto& it : m_publisher.connected())
        m_outputs.sendToNode(it, FrameKind::SPREAD, payload);
}

void ControlCore::publish()
{
    if (m_machine.state().version() > m_publisher.state()->version())
        m_publisher.publish(std::make_shared<const config::ConfigState>(m_machine.state()));
    for (const auto& it : m_publisher.takePendingDeltas())
        m_outputs.sendToNode(it.child, FrameKind::DELTA, *it.delta);
}

// ---- periodic work ----

void ControlCore::tick(base::Instant now, int64_t wallMs)
{
    setTime(now, wallMs);
    logDiskBacklog();
    if (!isDiskBehind())
        m_replica.tick(now);
    expireRequests();
    failForwardsToPreviousLeader();
    reportExpiredNodes();
    announceMembers();
    m_directory.expire(now, TOMBSTONE_RETENTION);
    if (now >= m_evidenceBatchDue) {
        m_evidenceBatchDue = now + EVIDENCE_BATCH_PERIOD;
        m_moveDriver.closeEvidenceBatches({ m_machine, m_directory, m_acks, now, wallMs });
    }
    bool leadsWithLease = !isDiskBehind() && m_replica.hasCommittedInTerm() && m_replica.hasLease(now);
    tickQuota(leadsWithLease);
    askLeaderForProof();
    if (leadsWithLease && now >= m_beaconDue) {
        m_beaconDue = now + BEACON_PERIOD;
        sendBeacon();
        proposeClaimEpoch();
    }
    proveDirectories();
    proposeDepartures();
    if (leadsWithLease) {
        proposeMoveEvents();
        proposeMembershipChange();
    }
    processReady();
}

void ControlCore::reportExpiredNodes()
{
    wire::Report report;
    for (auto& it : m_publisher.takeExpiredSubscribers(m_now)) {
        it.gone = true;
        report.nodes.push_back(it);
    }
    if (!report.nodes.empty())
        mergeReport(report, true);
}

void ControlCore::sendBeacon()
{
    wire::Beacon beacon;
    beacon.term = m_replica.term();
    beacon.sequence = ++m_beaconSequence;
    beacon.version = m_machine.state().version();
    beacon.claimsThroughMs = m_epochPlanner.epochsValidThroughMs(m_wallMs);
    m_lastBeacon = beacon;
    wire::MemberReport report;
    report.__set_beacon(beacon);
    wire::Spread out;
    out.__set_beacon(beacon);
    m_accountRatios = m_quota.ratios();
    if (!m_accountRatios.empty()) {
        report.__set_accountRatios(m_accountRatios);
        out.__set_accountRatios(m_accountRatios);
    }
    broadcastToMembers(report);
    broadcastToNodes(out);
}

void ControlCore::proposeClaimEpoch()
{
    if (!m_settings.claims)
        return;
    auto epoch = m_epochPlanner.plan(m_machine.state(), m_directory.liveNodes(), m_now, m_wallMs);
    if (!epoch)
        return;
    auto command = systemCommand(wire::CommandKind::CLAIM_EPOCH, m_wallMs);
    command.__set_claimEpoch(*epoch);
    m_replica.propose(wire::EntryKind::COMMAND, base::pack(base::encode(command)), m_now);
}

void ControlCore::proposeMoveEvents()
{
    // Plans nothing while a proposal is not applied: each event is planned on the state after the previous one.
    if (m_replica.lastIndex() != m_appliedIndex)
        return;
    for (const auto& event : m_moveDriver.plan({ m_machine, m_directory, m_acks, m_now, m_wallMs })) {
        auto command = systemCommand(wire::CommandKind::MOVE_EVENT, m_wallMs);
        command.__set_moveEvent(event);
        m_replica.propose(wire::EntryKind::COMMAND, base::pack(base::encode(command)), m_now);
    }
}

} // namespace pomelowind::control
