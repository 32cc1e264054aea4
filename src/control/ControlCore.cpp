#include "ControlCore.h"

#include "pomelowind/base/Log.h"
#include "pomelowind/base/Packing.h"
#include "pomelowind/members/MembershipPlanner.h"
#include "pomelowind/moves/MoveMachine.h"

namespace pomelowind::control {

using base::Millis;
using links::FrameKind;
using members::Outgoing;
using members::Ready;

namespace {

    constexpr auto SUBMISSION_TIMEOUT = Millis(5000);
    constexpr auto BARRIER_TIMEOUT = Millis(2000);
    constexpr auto BEACON_PERIOD = Millis(500);
    constexpr auto EVIDENCE_PERIOD = Millis(250);
    // Tombstones and acknowledgements of absent nodes are kept this long.
    constexpr auto GONE_RETENTION = Millis(600000);
    // Retry delay for subscribers of a host without fresh state. An election takes a few hundred milliseconds, and
    // nodes that restart together with the control hosts have to wait for it.
    constexpr auto NOT_FRESH_RETRY = Millis(100);
    constexpr auto GREET_PERIOD = Millis(500);
    constexpr auto MEMBERSHIP_PERIOD = Millis(200);
    // A voter without contact for this long is replaced, so that the group again tolerates the loss of another voter
    // until a successor of that one has caught up.
    constexpr auto REPLACE_AFTER = Millis(2500);
    constexpr auto FORGET_AFTER = Millis(120000);
    constexpr char SYSTEM_ACTOR[] = "system";
    // A snapshot is written when the commands since the last one have this many times its size. This bounds the replay
    // at start, and limits the cost of writing snapshots to a fraction of the cost of applying the commands.
    constexpr size_t REPLAYED_IMAGES = 4;
    constexpr size_t LEAST_REPLAYED_BYTES = 256 * 1024;

    members::ReplicaOptions replicaOptions(const ControlSettings& settings, uint64_t seed)
    {
        members::ReplicaOptions out;
        out.self = settings.id;
        out.electionTimeout = settings.electionTimeout;
        out.heartbeat = settings.heartbeat;
        out.seed = seed;
        out.keptEntries = static_cast<size_t>(settings.keptEntries);
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

    struct Encoded {
        links::Kind kind;
        std::string payload;
    };

    Encoded encodeMessage(const members::Message& message)
    {
        return std::visit(
            [](const auto& it) -> Encoded {
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

    // A command of the control plane itself. It needs no request id, because the step of a move or the number of an
    // epoch makes it idempotent.
    wire::Command systemCommand(wire::CommandKind::type kind, int64_t wallMs)
    {
        wire::Command command;
        command.kind = kind;
        command.actor = SYSTEM_ACTOR;
        command.timeMs = wallMs;
        return command;
    }

}

ControlCore::ControlCore(const ControlSettings& settings, members::DurableState durable, ControlOutputs& outputs,
    base::Instant now, int64_t wallMs, uint64_t seed)
    : m_settings(settings)
    , m_outputs(outputs)
    , m_now(now)
    , m_wallMs(wallMs)
    , m_replica(replicaOptions(settings, seed), durable, now)
    , m_feeder({}, now)
    , m_epochs(settings.claimLead)
{
    if (const auto& snapshot = m_replica.snapshot())
        restoreSnapshot(*snapshot);
    for (const auto& it : m_settings.members)
        m_heard[it.id];
    publish();
}

// The bootstrap snapshot has an empty state: it carries only the membership.
void ControlCore::restoreSnapshot(const wire::SnapshotRecord& snapshot)
{
    if (snapshot.state.empty())
        m_machine = config::ConfigMachine();
    else
        m_machine.restore(base::decode<wire::MachineImage>(snapshot.state));
    m_applied = snapshot.index;
    m_snapshotIndex = snapshot.index;
    m_snapshotBytes = snapshot.state.size();
    m_appliedBytes = 0;
}

void ControlCore::advance(base::Instant now, int64_t wallMs)
{
    m_now = now;
    m_wallMs = wallMs;
}

// ---- the log ----

void ControlCore::pump()
{
    if (m_pumping)
        return;
    m_pumping = true;
    for (Ready ready = m_replica.takeReady();
         ready.needsDisk() || !ready.messages.empty() || !ready.afterDurable.empty() || !ready.committed.empty();
         ready = m_replica.takeReady())
        handle(std::move(ready));
    m_pumping = false;
    logRole();
    publish();
    maybeSnapshot();
}

void ControlCore::logRole()
{
    std::string role = m_replica.isLeader() ? "leader" : "follower";
    std::string now = role + "/" + std::to_string(m_replica.term()) + "/" + m_replica.leader();
    if (now == m_loggedRole)
        return;
    m_loggedRole = now;
    base::logInfo("replica.role", { { "role", role }, { "term", m_replica.term() }, { "leader", m_replica.leader() } });
}

void ControlCore::handle(Ready ready)
{
    sendAll(ready.messages);
    ready.messages.clear();
    auto committed = std::move(ready.committed);
    ready.committed.clear();
    if (ready.install) {
        restoreSnapshot(*ready.install);
    }
    // Messages that depend on durable state are sent in the order of the writes: while a write is outstanding, later
    // ones pass through the disk queue too.
    if (ready.needsDisk() || (m_diskOutstanding && !ready.afterDurable.empty())) {
        DiskWork work;
        work.hardState = m_replica.hardState();
        work.ready = std::move(ready);
        ++m_diskOutstanding;
        if (!m_outputs.persist(std::move(work)))
            throw base::InternalFault("the disk write queue is full");
    } else {
        sendAll(ready.afterDurable);
    }
    for (const auto& it : committed)
        applyEntry(it);
}

void ControlCore::sendAll(const std::vector<Outgoing>& messages)
{
    for (const auto& it : messages) {
        auto encoded = encodeMessage(it.message);
        m_outputs.sendToMember(it.to, encoded.kind, std::move(encoded.payload));
    }
}

void ControlCore::applyEntry(const wire::Entry& entry)
{
    m_applied = entry.index;
    wire::CommandResult result;
    if (entry.kind == wire::EntryKind::COMMAND) {
        auto plain = base::unpack(entry.data);
        m_appliedBytes += plain.size();
        auto command = base::decode<wire::Command>(plain);
        result = m_machine.apply(entry.index, command);
        base::logInfo("command.applied",
            { { "index", entry.index }, { "kind", config::commandKindName(command.kind) }, { "actor", command.actor },
                { "result", config::resultCodeName(result.code) }, { "version", m_machine.state().version() },
                { "request", command.requestId }, { "detail", result.message } });
        if (command.kind == wire::CommandKind::MOVE_EVENT)
            logMove(command.moveEvent);
    }
    answerPending(entry, result);
    releaseReads();
}

void ControlCore::logMove(const wire::MoveEvent& event) const
{
    const auto* move = m_machine.findMove(event.moveId);
    if (!move)
        return;
    auto evidence = m_moves.evidence(event.moveId);
    base::logInfo("move.changed",
        { { "move", move->id }, { "state", moves::moveStateName(move->state) }, { "permille", move->permille },
            { "reason", event.reason }, { "candidate_calls", evidence.candidate.calls },
            { "candidate_faults", evidence.candidate.faults }, { "stable_calls", evidence.stable.calls },
            { "stable_faults", evidence.stable.faults } });
}

void ControlCore::answerPending(const wire::Entry& entry, const wire::CommandResult& result)
{
    auto it = m_pending.find(entry.index);
    if (it == m_pending.end())
        return;
    auto pending = std::move(it->second);
    m_pending.erase(it);
    // An entry of another term at this index means that a new leader has overwritten this host's proposal.
    pending.reply(pending.term == entry.term ? result : unavailable("the leader changed before this was accepted"));
}

// Fails the requests that were forwarded to a previous leader, so that their senders can retry at once instead of
// waiting for the timeout.
void ControlCore::dropForwards()
{
    if (m_replica.leader() == m_forwardLeader)
        return;
    m_forwardLeader = m_replica.leader();
    auto lost = std::move(m_forwards);
    m_forwards.clear();
    for (auto& [id, pending] : lost)
        pending.reply(unavailable("the leader changed before it answered"));
}

void ControlCore::expirePending()
{
    for (auto* map : { &m_pending, &m_forwards }) {
        for (auto it = map->begin(); it != map->end();) {
            if (m_now < it->second.due) {
                ++it;
                continue;
            }
            auto pending = std::move(it->second);
            it = map->erase(it);
            pending.reply(unavailable("no majority of the control hosts answered in time"));
        }
    }
}

void ControlCore::maybeSnapshot()
{
    bool isDue = m_applied - m_snapshotIndex >= m_settings.snapshotEvery
        || m_appliedBytes >= std::max(LEAST_REPLAYED_BYTES, REPLAYED_IMAGES * m_snapshotBytes);
    if (m_snapshotInFlight || !isDue)
        return;
    DiskWork work;
    work.snapshot = wire::SnapshotRecord();
    work.snapshot->index = m_applied;
    work.snapshot->term = m_replica.termAt(m_applied);
    work.snapshot->membership = m_replica.membershipAt(m_applied);
    work.snapshot->state = base::encode(m_machine.image());
    m_snapshotBytes = work.snapshot->state.size();
    m_appliedBytes = 0;
    ++m_diskOutstanding;
    m_snapshotInFlight = m_outputs.persist(std::move(work));
}

void ControlCore::diskDone(DiskDone done, base::Instant now)
{
    m_now = now;
    --m_diskOutstanding;
    if (done.snapshot) {
        m_snapshotInFlight = false;
        m_snapshotIndex = done.snapshot->index;
        m_replica.compacted(std::move(*done.snapshot));
    }
    if (done.lastIndex)
        m_replica.persisted(done.lastIndex, done.lastTerm);
    sendAll(done.send);
    pump();
}

// ---- submissions ----

void ControlCore::submit(wire::Command command, SubmissionReply reply, base::Instant now, int64_t wallMs)
{
    advance(now, wallMs);
    if (m_replica.isLeader()) {
        command.timeMs = wallMs;
        auto index = m_replica.propose(wire::EntryKind::COMMAND, base::pack(base::encode(command)), now);
        if (!index) {
            wire::CommandResult busy = unavailable("too many submissions are in flight");
            busy.code = wire::ResultCode::BUSY;
            return reply(busy);
        }
        m_pending[*index] = { m_replica.term(), std::move(reply), now + SUBMISSION_TIMEOUT };
        return pump();
    }
    if (m_replica.leader().empty())
        return reply(unavailable("the control hosts have no leader now"));
    wire::ForwardRequest request;
    request.id = m_nextForward++;
    request.command = base::pack(base::encode(command));
    m_forwards[request.id] = { 0, std::move(reply), now + SUBMISSION_TIMEOUT };
    m_outputs.sendToMember(m_replica.leader(), FrameKind::FORWARD_REQUEST, base::encode(request));
}

void ControlCore::forwardRequest(const std::string& member, const wire::ForwardRequest& request)
{
    wire::ForwardAnswer answer;
    answer.id = request.id;
    bool isBarrier = request.command.empty();
    if (!m_replica.isLeader() || (isBarrier && !(m_replica.isCurrent() && m_replica.hasLease(m_now)))) {
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

void ControlCore::forwardAnswer(const wire::ForwardAnswer& answer)
{
    auto it = m_forwards.find(answer.id);
    if (it == m_forwards.end())
        return;
    auto pending = std::move(it->second);
    m_forwards.erase(it);
    if (answer.notLeader)
        return pending.reply(unavailable("the leader has just changed"));
    pending.reply(base::decode<wire::CommandResult>(answer.result));
}

// A follower asks the leader for its commit index and waits until it has applied that index, so that operators read
// their own accepted submissions on any host. The leader needs only its lease.
void ControlCore::readBarrier(BarrierDone done, base::Instant now)
{
    m_now = now;
    if (m_replica.isCurrent() && m_replica.hasLease(now))
        return done(true);
    if (m_replica.isLeader() || m_replica.leader().empty())
        return done(false);
    wire::ForwardRequest request;
    request.id = m_nextForward++;
    auto reply = [this, done](const wire::CommandResult& result) {
        if (result.code != wire::ResultCode::ACCEPTED)
            return done(false);
        m_reads.emplace(result.version, done);
        releaseReads();
    };
    m_forwards[request.id] = { 0, reply, now + BARRIER_TIMEOUT };
    m_outputs.sendToMember(m_replica.leader(), FrameKind::FORWARD_REQUEST, base::encode(request));
}

void ControlCore::releaseReads()
{
    while (!m_reads.empty() && m_reads.begin()->first <= m_applied) {
        auto done = std::move(m_reads.begin()->second);
        m_reads.erase(m_reads.begin());
        done(true);
    }
}

bool ControlCore::changeMembers(const wire::Membership& next, base::Instant now)
{
    m_now = now;
    bool accepted = m_replica.proposeMembership(next, now).has_value();
    pump();
    return accepted;
}

// ---- members ----

void ControlCore::memberFrame(
    const std::string& member, links::Kind kind, std::string_view payload, base::Instant now, int64_t wallMs)
{
    advance(now, wallMs);
    noteMember(member);
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
        forwardRequest(member, base::decode<wire::ForwardRequest>(payload));
        break;
    case FrameKind::FORWARD_ANSWER:
        forwardAnswer(base::decode<wire::ForwardAnswer>(payload));
        break;
    case FrameKind::MEMBER_REPORT:
        memberReport(base::decode<wire::MemberReport>(payload));
        break;
    default:
        throw base::UserError(
            base::ErrorKind::Protocol, "unexpected frame from a control host", "run the same release on all hosts");
    }
    pump();
}

void ControlCore::memberConnected(const std::string& member)
{
    noteMember(member);
    wire::MemberReport report;
    report.members = memberList();
    report.report.nodes = m_directory.allNodes();
    report.report.targets = m_directory.allTargets();
    report.report.acks = m_acks.fresh(m_now, GONE_RETENTION);
    m_outputs.sendToMember(member, FrameKind::MEMBER_REPORT, base::encode(report));
}

void ControlCore::noteMember(const std::string& member)
{
    if (m_settings.discovers)
        m_heard[member] = m_now;
}

std::vector<std::string> ControlCore::memberList() const
{
    std::vector<std::string> out = m_replica.membership().voters;
    const auto& learners = m_replica.membership().learners;
    out.insert(out.end(), learners.begin(), learners.end());
    return out;
}

// Broadcasts the members that this host knows. A host that is not a member yet becomes known by it; members learn from
// it which hosts to connect to.
void ControlCore::greetMembers()
{
    if (!m_settings.discovers || m_now < m_greetDue)
        return;
    m_greetDue = m_now + GREET_PERIOD;
    wire::MemberReport report;
    report.members = memberList();
    broadcastToMembers(report);
}

void ControlCore::driveMembership()
{
    if (!m_settings.discovers || m_now < m_membershipDue)
        return;
    m_membershipDue = m_now + MEMBERSHIP_PERIOD;
    std::vector<members::HostStatus> hosts;
    hosts.push_back({ m_settings.id, true, false, true, false });
    for (const auto& [id, heard] : m_heard) {
        if (id == m_settings.id)
            continue;
        members::HostStatus host;
        host.id = id;
        host.reachable = heard != base::Instant() && m_now - heard < REPLACE_AFTER;
        host.forgotten = m_now - heard >= FORGET_AFTER;
        if (auto status = m_replica.peerStatus(id)) {
            host.caughtUp = status->caughtUp;
            host.recovering = status->recovering;
            host.reachable = host.reachable && m_now - status->lastAck < REPLACE_AFTER;
        }
        hosts.push_back(host);
    }
    auto next = members::planMembership(m_replica.membership(), hosts, m_settings.id,
        members::votersFor(static_cast<size_t>(m_settings.toleratedLosses)));
    if (next && m_replica.proposeMembership(*next, m_now))
        base::logInfo("members.proposed",
            { { "voters", next->voters.size() }, { "learners", next->learners.size() }, { "term", m_replica.term() } });
}

void ControlCore::memberReport(const wire::MemberReport& report)
{
    for (const auto& it : report.members) {
        if (m_settings.discovers && it != m_settings.id && m_heard.emplace(it, base::Instant()).second)
            m_outputs.connectMember(it);
    }
    takeReport(report.report, false);
    if (!report.__isset.beacon)
        return;
    bool newer = report.beacon.term > m_lastBeacon.term
        || (report.beacon.term == m_lastBeacon.term && report.beacon.sequence > m_lastBeacon.sequence);
    if (!newer)
        return;
    m_lastBeacon = report.beacon;
    wire::Spread out;
    out.__set_beacon(report.beacon);
    spread(out);
}

void ControlCore::broadcastToMembers(const wire::MemberReport& report)
{
    std::string payload = base::encode(report);
    std::set<std::string> to;
    for (const auto& it : m_settings.members)
        to.insert(it.id);
    for (const auto& [id, heard] : m_heard)
        to.insert(id);
    to.erase(m_settings.id);
    for (const auto& it : to)
        m_outputs.sendToMember(it, FrameKind::MEMBER_REPORT, payload);
}

// ---- nodes ----

void ControlCore::nodeFrame(
    const std::string& node, links::Kind kind, std::string_view payload, base::Instant now, int64_t wallMs)
{
    advance(now, wallMs);
    switch (kind) {
    case FrameKind::SUBSCRIBE:
        subscribe(node, base::decode<wire::Subscribe>(payload));
        break;
    case FrameKind::REPORT:
        takeReport(base::decode<wire::Report>(payload), true);
        break;
    default:
        throw base::UserError(
            base::ErrorKind::Protocol, "unexpected frame from a node", "run the same release on all hosts");
    }
}

void ControlCore::subscribe(const std::string& node, const wire::Subscribe& request)
{
    wire::SubscribeAnswer answer;
    nodes::Admission admission { false, NOT_FRESH_RETRY };
    // A host without contact to the leader may be partitioned and have outdated state, so it admits no subscribers.
    if (m_replica.isFresh(m_now))
        admission = m_feeder.subscribe(request.node, request.base, m_now);
    answer.admitted = admission.admitted;
    answer.retryAfterMs = static_cast<int32_t>(admission.retryAfter.count());
    answer.version = m_machine.state().version();
    answer.floor = m_acks.versionOf(node);
    answer.fresh = true;
    if (m_settings.discovers)
        answer.controlHosts = memberList();
    if (admission.admitted)
        answer.directory = m_directory.liveNodes(request.node.dataCentre);
    m_outputs.sendToNode(node, FrameKind::SUBSCRIBE_ANSWER, base::encode(answer));
    if (!admission.admitted)
        return;
    wire::Report report;
    report.nodes.push_back(request.node);
    takeReport(report, true);
    wire::Spread all;
    all.nodes = m_directory.liveNodes();
    all.targets = m_directory.allTargets();
    m_outputs.sendToNode(node, FrameKind::SPREAD, base::encode(all));
    publish();
}

void ControlCore::nodeDisconnected(const std::string& node, base::Instant now) { m_feeder.disconnected(node, now); }

void ControlCore::takeReport(const wire::Report& report, bool fromNode)
{
    auto change = m_directory.merge(report.nodes, report.targets, m_now);
    auto news = m_acks.merge(report.acks, m_now);
    m_moves.addEvidence(report.evidence, m_machine);
    m_moves.addAlarms(report.alarms);
    if (!change.empty()) {
        wire::Spread out;
        out.nodes = change.nodes;
        out.targets = change.targets;
        spread(out);
    }
    if (!fromNode)
        return;
    wire::MemberReport forwarded;
    forwarded.report = report;
    forwarded.report.nodes = change.nodes;
    forwarded.report.targets = change.targets;
    broadcastToMembers(forwarded);
}

void ControlCore::spread(const wire::Spread& spread)
{
    std::string payload = base::encode(spread);
    for (const auto& it : m_feeder.connected())
        m_outputs.sendToNode(it, FrameKind::SPREAD, payload);
}

void ControlCore::publish()
{
    if (m_machine.state().version() > m_feeder.state()->version())
        m_feeder.publish(std::make_shared<const config::ConfigState>(m_machine.state()));
    for (const auto& it : m_feeder.takeFeeds())
        m_outputs.sendToNode(it.child, FrameKind::DELTA, *it.delta);
}

// ---- periodic work ----

void ControlCore::tick(base::Instant now, int64_t wallMs)
{
    advance(now, wallMs);
    m_replica.tick(now);
    expirePending();
    dropForwards();
    reportExpired();
    greetMembers();
    m_directory.expire(now, GONE_RETENTION);
    if (now >= m_batchDue) {
        m_batchDue = now + EVIDENCE_PERIOD;
        m_moves.closeBatches({ m_machine, m_directory, m_acks, now, wallMs });
    }
    bool leads = m_replica.isCurrent() && m_replica.hasLease(now);
    if (leads && now >= m_beaconDue) {
        m_beaconDue = now + BEACON_PERIOD;
        sendBeacon();
        proposeEpoch();
    }
    if (leads) {
        driveMoves();
        driveMembership();
    }
    pump();
}

void ControlCore::reportExpired()
{
    wire::Report report;
    for (auto& it : m_feeder.takeExpired(m_now)) {
        it.gone = true;
        report.nodes.push_back(it);
    }
    if (!report.nodes.empty())
        takeReport(report, true);
}

void ControlCore::sendBeacon()
{
    wire::Beacon beacon;
    beacon.term = m_replica.term();
    beacon.sequence = ++m_beaconSequence;
    beacon.version = m_machine.state().version();
    beacon.claimsThroughMs = m_epochs.promiseThroughMs(m_wallMs);
    m_lastBeacon = beacon;
    wire::MemberReport report;
    report.__set_beacon(beacon);
    broadcastToMembers(report);
    wire::Spread out;
    out.__set_beacon(beacon);
    spread(out);
}

void ControlCore::proposeEpoch()
{
    if (!m_settings.claims)
        return;
    auto epoch = m_epochs.plan(m_machine.state(), m_directory.liveNodes(), m_now, m_wallMs);
    if (!epoch)
        return;
    auto command = systemCommand(wire::CommandKind::CLAIM_EPOCH, m_wallMs);
    command.__set_claimEpoch(*epoch);
    m_replica.propose(wire::EntryKind::COMMAND, base::pack(base::encode(command)), m_now);
}

void ControlCore::driveMoves()
{
    // Plans nothing while a proposal is not applied: each event is planned on the state after the previous one.
    if (m_replica.lastIndex() != m_applied)
        return;
    for (const auto& event : m_moves.plan({ m_machine, m_directory, m_acks, m_now, m_wallMs })) {
        auto command = systemCommand(wire::CommandKind::MOVE_EVENT, m_wallMs);
        command.__set_moveEvent(event);
        m_replica.propose(wire::EntryKind::COMMAND, base::pack(base::encode(command)), m_now);
    }
}

} // namespace pomelowind::control
