#include "pomelowind/members/Replica.h"

#include "pomelowind/base/Log.h"

#include <algorithm>

namespace pomelowind::members {

using base::Instant;
using base::Millis;

namespace {

    constexpr size_t MAX_TRACKED_ROUNDS = 64;
    // Length of a lease, as a share of the election timeout. The rest allows for differing clock rates.
    constexpr int LEASE_PERCENT = 80;
    // Election timeout of a host that has not seen a leader since its restart. Short, because nodes serve nothing until
    // the restarted group has a leader, but enough for a round trip and a disk write. Pre-votes cannot depose a leader.
    constexpr auto STARTUP_ELECTION_TIMEOUT = Millis(80);
    constexpr auto REINSTATE_RETRY_INTERVAL = Millis(1000);
    constexpr auto SNAPSHOT_RETRY_INTERVAL = Millis(3000);

    bool contains(const std::vector<std::string>& list, const std::string& item)
    {
        return std::find(list.begin(), list.end(), item) != list.end();
    }

}

Replica::Replica(ReplicaOptions options, DurableState durable, Instant now)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_diskId(durable.diskId)
    , m_recovering(durable.recovering)
    , m_hardState(durable.hardState)
    , m_snapshot(std::move(durable.snapshot))
    , m_lastLeaderContact(now)
{
    m_memberships.emplace_back(0, wire::Membership());
    if (m_snapshot) {
        m_logBaseIndex = m_snapshot->index;
        m_logBaseTerm = m_snapshot->term;
        m_commitIndex = m_snapshot->index;
        m_memberships.back() = { m_snapshot->index, m_snapshot->membership };
    }
    for (auto& it : durable.entries)
        appendEntry(std::move(it));
    m_ready.entriesToAppend.clear();
    m_persistedIndex = lastIndex();
    // The former leader need not wait for a lease to expire: the lease that the others granted is its own.
    auto leaseWait = m_hardState.leader == m_options.self ? Millis(0) : m_options.electionTimeout;
    m_electionDeadline = now + leaseWait
        + randomUpTo(m_hardState.leader.empty() ? m_options.electionTimeout : STARTUP_ELECTION_TIMEOUT);
}

// ---- log access ----

int64_t Replica::firstIndex() const { return m_logBaseIndex + 1; }

int64_t Replica::lastIndex() const { return m_logBaseIndex + static_cast<int64_t>(m_log.size()); }

const wire::Entry* Replica::entryAt(int64_t index) const
{
    if (index < firstIndex() || index > lastIndex())
        return nullptr;
    return &m_log[static_cast<size_t>(index - firstIndex())];
}

int64_t Replica::termAt(int64_t index) const
{
    if (index == m_logBaseIndex)
        return m_logBaseTerm;
    const auto* entry = entryAt(index);
    return entry ? entry->term : -1;
}

void Replica::appendEntry(wire::Entry entry)
{
    if (entry.kind == wire::EntryKind::MEMBERSHIP)
        m_memberships.emplace_back(entry.index, base::decode<wire::Membership>(entry.data));
    m_ready.entriesToAppend.push_back(entry);
    m_log.push_back(std::move(entry));
}

void Replica::truncateFrom(int64_t index)
{
    if (index <= m_commitIndex)
        throw base::InternalFault("log conflict at committed index " + std::to_string(index));
    while (lastIndex() >= index)
        m_log.pop_back();
    std::erase_if(m_ready.entriesToAppend, [&](const wire::Entry& it) { return it.index >= index; });
    while (m_memberships.size() > 1 && m_memberships.back().first >= index)
        m_memberships.pop_back();
    m_persistedIndex = std::min(m_persistedIndex, index - 1);
}

// ---- membership ----

bool Replica::isVoter(const std::string& member) const { return contains(membership().voters, member); }

bool Replica::isMember(const std::string& host) const { return isVoter(host) || contains(membership().learners, host); }

std::optional<PeerStatus> Replica::peerStatus(const std::string& peer) const
{
    auto it = m_progress.find(peer);
    if (it == m_progress.end() || !isMember(peer))
        return std::nullopt;
    return PeerStatus { it->second.match >= m_commitIndex, it->second.recovering, it->second.lastAck };
}

size_t Replica::majority() const { return membership().voters.size() / 2 + 1; }

std::vector<std::string> Replica::peers() const
{
    std::vector<std::string> out;
    for (const auto& it : membership().voters) {
        if (it != m_options.self)
            out.push_back(it);
    }
    for (const auto& it : membership().learners) {
        if (it != m_options.self)
            out.push_back(it);
    }
    return out;
}

bool Replica::canVote() const { return !m_recovering && isVoter(m_options.self); }

std::optional<int64_t> Replica::proposeMembership(const wire::Membership& next, Instant now)
{
    if (!isLeader() || !hasCommittedInTerm() || m_memberships.back().first > m_commitIndex)
        return std::nullopt;
    auto countMissing = [](const std::vector<std::string>& a, const std::vector<std::string>& b) {
        return std::count_if(a.begin(), a.end(), [&](const std::string& it) { return !contains(b, it); });
    };
    const auto& voters = membership().voters;
    if (next.voters.empty() || countMissing(voters, next.voters) + countMissing(next.voters, voters) > 1)
        return std::nullopt;
    return propose(wire::EntryKind::MEMBERSHIP, base::encode(next), now);
}

// ---- roles ----

Millis Replica::randomUpTo(Millis max)
{
    return Millis(static_cast<int64_t>(m_random.uniformBelow(static_cast<uint64_t>(max.count()) + 1)));
}

void Replica::resetElectionTimer(Instant now)
{
    bool isStartup = !m_hasSeenLeader && !m_hardState.leader.empty();
    auto timeout = isStartup ? STARTUP_ELECTION_TIMEOUT : m_options.electionTimeout;
    m_electionDeadline = now + timeout + randomUpTo(timeout);
}

// Records the leader in the hard state, which is durable before the leader receives an answer from this host. A
// restarted host thus still knows which host may have a lease that rests on its answers.
void Replica::recordLeader(const std::string& leader)
{
    m_leader = leader;
    if (leader.empty())
        return;
    m_hasSeenLeader = true;
    if (m_hardState.leader == leader)
        return;
    m_hardState.leader = leader;
    m_ready.hardState = m_hardState;
}

void Replica::becomeFollower(int64_t term, const std::string& leader, Instant now)
{
    if (term > m_hardState.term) {
        m_hardState.term = term;
        m_hardState.votedFor.clear();
        m_ready.hardState = m_hardState;
    }
    m_role = Role::Follower;
    recordLeader(leader);
    resetElectionTimer(now);
}

void Replica::startPreVote(Instant now)
{
    m_role = Role::PreCandidate;
    m_leader.clear();
    m_votes = { m_options.self };
    resetElectionTimer(now);
    if (m_votes.size() >= majority())
        return startElection(now);
    sendVoteRequests(true);
}

void Replica::startElection(Instant now)
{
    m_role = Role::Candidate;
    m_leader.clear();
    m_hardState.term += 1;
    m_hardState.votedFor = m_options.self;
    m_ready.hardState = m_hardState;
    m_votes = { m_options.self };
    resetElectionTimer(now);
    if (m_votes.size() >= majority())
        return becomeLeader(now);
    sendVoteRequests(false);
}

void Replica::sendVoteRequests(bool preVote)
{
    wire::VoteRequest request;
    request.term = preVote ? m_hardState.term + 1 : m_hardState.term;
    request.preVote = preVote;
    request.lastIndex = lastIndex();
    request.lastTerm = termAt(lastIndex());
    for (const auto& it : membership().voters) {
        if (it != m_options.self)
            m_ready.messagesAfterPersist.push_back({ it, request });
    }
}

void Replica::becomeLeader(Instant now)
{
    m_role = Role::Leader;
    recordLeader(m_options.self);
    m_progress.clear();
    m_roundSendTimes.clear();
    for (const auto& it : peers()) {
        Progress progress;
        progress.next = lastIndex() + 1;
        progress.lastAck = now;
        m_progress[it] = progress;
    }
    // Entries of earlier terms are committed only together with an entry of the new term.
    propose(wire::EntryKind::NOOP, {}, now);
}

bool Replica::hasRecentState(Instant now) const
{
    return isLeader() ? hasLease(now) : !m_leader.empty() && now - m_lastLeaderContact < 2 * m_options.electionTimeout;
}

const wire::Membership& Replica::membershipAt(int64_t index) const
{
    auto it
        = std::find_if(m_memberships.rbegin(), m_memberships.rend(), [&](const auto& m) { return m.first <= index; });
    return it == m_memberships.rend() ? m_memberships.front().second : it->second;
}

bool Replica::hasCommittedInTerm() const { return isLeader() && termAt(m_commitIndex) == m_hardState.term; }

bool Replica::hasLease(Instant now) const
{
    if (!isLeader())
        return false;
    if (majority() == 1)
        return true;
    std::vector<int64_t> answeredRounds;
    for (const auto& [peer, progress] : m_progress) {
        if (isVoter(peer) && !progress.recovering)
            answeredRounds.push_back(progress.ackedRound);
    }
    size_t needed = majority() - 1;
    if (answeredRounds.size() < needed)
        return false;
    std::sort(answeredRounds.rbegin(), answeredRounds.rend());
    int64_t round = answeredRounds[needed - 1];
    for (const auto& [number, sent] : m_roundSendTimes) {
        if (number == round)
            return now < sent + m_options.electionTimeout * LEASE_PERCENT / 100;
    }
    return false;
}

void Replica::tick(Instant now)
{
    m_now = now;
    if (isLeader()) {
        checkQuorum(now);
        if (isLeader() && now >= m_nextHeartbeat)
            broadcastAppend(now);
        return;
    }
    if (now >= m_electionDeadline) {
        if (canVote())
            startPreVote(now);
        else
            resetElectionTimer(now);
    }
}

// Steps down when no majority answers, so that submissions to this host fail with "unavailable" instead of waiting.
void Replica::checkQuorum(Instant now)
{
    size_t activeVoters = isVoter(m_options.self) ? 1 : 0;
    for (const auto& [peer, progress] : m_progress) {
        if (isVoter(peer) && now - progress.lastAck < 2 * m_options.electionTimeout)
            ++activeVoters;
    }
    if (activeVoters < majority())
        becomeFollower(m_hardState.term, {}, now);
}

// ---- proposals and replication ----

std::optional<int64_t> Replica::propose(wire::EntryKind::type kind, std::string data, Instant now)
{
    if (!isLeader() || lastIndex() - m_commitIndex >= static_cast<int64_t>(m_options.maxInFlightProposals))
        return std::nullopt;
    m_now = now;
    wire::Entry entry;
    entry.index = lastIndex() + 1;
    entry.term = m_hardState.term;
    entry.kind = kind;
    entry.data = std::move(data);
    int64_t index = entry.index;
    appendEntry(std::move(entry));
    for (const auto& it : peers()) {
        if (!m_progress.count(it)) {
            Progress progress;
            progress.next = index;
            progress.lastAck = now;
            m_progress[it] = progress;
        }
    }
    broadcastAppend(now);
    return index;
}

void Replica::broadcastAppend(Instant now)
{
    m_nextHeartbeat = now + m_options.heartbeatInterval;
    ++m_round;
    m_roundSendTimes.emplace_back(m_round, now);
    if (m_roundSendTimes.size() > MAX_TRACKED_ROUNDS)
        m_roundSendTimes.pop_front();
    for (const auto& it : peers())
        sendAppend(it, now);
}

void Replica::sendAppend(const std::string& peer, Instant now)
{
    auto& progress = m_progress[peer];
    if (progress.next < firstIndex())
        return sendSnapshot(peer, progress, now);
    wire::AppendRequest request;
    request.term = m_hardState.term;
    request.prevIndex = progress.next - 1;
    request.prevTerm = termAt(request.prevIndex);
    request.commit = m_commitIndex;
    request.round = m_round;
    size_t bytes = 0;
    while (progress.next <= lastIndex() && request.entries.size() < m_options.maxBatchEntries
        && bytes < m_options.maxBatchBytes) {
        const auto* entry = entryAt(progress.next);
        bytes += entry->data.size();
        request.entries.push_back(*entry);
        ++progress.next;
    }
    m_ready.messages.push_back({ peer, std::move(request) });
}

bool Replica::snapshotInFlight(const Progress& progress, Instant now)
{
    return progress.snapshotSentAt != Instant() && now - progress.snapshotSentAt < SNAPSHOT_RETRY_INTERVAL;
}

void Replica::sendSnapshot(const std::string& peer, Progress& progress, Instant now)
{
    if (!m_snapshot || snapshotInFlight(progress, now)) {
        // Send an empty request as a heartbeat, so that the peer does not start an election meanwhile.
        wire::AppendRequest heartbeat;
        heartbeat.term = m_hardState.term;
        heartbeat.prevIndex = lastIndex();
        heartbeat.prevTerm = termAt(lastIndex());
        heartbeat.round = m_round;
        m_ready.messages.push_back({ peer, std::move(heartbeat) });
        return;
    }
    progress.snapshotSentAt = now;
    wire::SnapshotRequest request;
    request.term = m_hardState.term;
    request.snapshot = *m_snapshot;
    request.round = m_round;
    m_ready.messages.push_back({ peer, std::move(request) });
}

void Replica::onPersisted(int64_t index, int64_t term)
{
    if (termAt(index) != term || index <= m_persistedIndex)
        return;
    m_persistedIndex = index;
    if (isLeader())
        advanceCommit();
}

void Replica::advanceCommit()
{
    std::vector<int64_t> durableIndexes;
    if (isVoter(m_options.self))
        durableIndexes.push_back(m_persistedIndex);
    for (const auto& [peer, progress] : m_progress) {
        if (isVoter(peer) && !progress.recovering)
            durableIndexes.push_back(progress.match);
    }
    if (durableIndexes.size() < majority())
        return;
    std::sort(durableIndexes.rbegin(), durableIndexes.rend());
    int64_t index = durableIndexes[majority() - 1];
    // Only an entry of the leader's own term may be committed by counting replicas (Raft, section 5.4.2); it commits
    // all earlier entries.
    if (index <= m_commitIndex || termAt(index) != m_hardState.term)
        return;
    commitTo(index);
    // Followers publish to nodes too, so they receive the commit index now and not with the next heartbeat.
    broadcastAppend(m_now);
}

void Replica::commitTo(int64_t index)
{
    while (m_commitIndex < index) {
        const auto* entry = entryAt(++m_commitIndex);
        onCommitted(*entry);
        m_ready.committed.push_back(*entry);
    }
}

void Replica::onCommitted(const wire::Entry& entry)
{
    if (entry.kind != wire::EntryKind::REINSTATE)
        return;
    auto reinstate = base::decode<wire::Reinstate>(entry.data);
    if (reinstate.member == m_options.self && reinstate.diskId == m_diskId && m_recovering) {
        m_recovering = false;
        m_ready.reinstated = true;
    }
}

void Replica::onSnapshotPersisted(wire::SnapshotRecord snapshot)
{
    if (m_snapshot && snapshot.index <= m_snapshot->index)
        return;
    int64_t keepFrom = snapshot.index - static_cast<int64_t>(m_options.retainedEntries);
    while (firstIndex() <= keepFrom && !m_log.empty()) {
        m_logBaseTerm = m_log.front().term;
        m_log.pop_front();
        ++m_logBaseIndex;
    }
    m_snapshot = std::move(snapshot);
}

// ---- messages ----

void Replica::receive(const std::string& from, const Message& message, Instant now)
{
    m_now = now;
    std::visit(
        [&](const auto& it) {
            using T = std::decay_t<decltype(it)>;
            if constexpr (std::is_same_v<T, wire::VoteRequest>)
                onVoteRequest(from, it, now);
            else if constexpr (std::is_same_v<T, wire::VoteAnswer>)
                onVoteAnswer(from, it, now);
            else if constexpr (std::is_same_v<T, wire::AppendRequest>)
                onAppendRequest(from, it, now);
            else if constexpr (std::is_same_v<T, wire::AppendAnswer>)
                onAppendAnswer(from, it, now);
            else
                onSnapshotRequest(from, it, now);
        },
        message);
}

bool Replica::isUpToDate(int64_t index, int64_t term) const
{
    int64_t ownTerm = termAt(lastIndex());
    return term > ownTerm || (term == ownTerm && index >= lastIndex());
}

void Replica::onVoteRequest(const std::string& from, const wire::VoteRequest& request, Instant now)
{
    // A recovering host lost the record of its votes, so it must not vote. A host that received a message from a leader
    // within the election timeout, or that started less than an election timeout ago and may have received one before,
    // does not vote against it: this upholds the leader's lease and keeps a host that returns from a partition from
    // deposing the leader. A leader that asks for votes itself no longer has a lease.
    bool leaderIsActive = isLeader() || now - m_lastLeaderContact < m_options.electionTimeout;
    bool isFromLeader = !isLeader() && from == m_hardState.leader;
    if (!canVote() || (leaderIsActive && !isFromLeader))
        return;
    wire::VoteAnswer answer;
    answer.preVote = request.preVote;
    if (request.preVote) {
        answer.term = request.term;
        answer.granted = request.term > m_hardState.term && isUpToDate(request.lastIndex, request.lastTerm);
        if (!answer.granted)
            answer.term = m_hardState.term;
        m_ready.messagesAfterPersist.push_back({ from, answer });
        return;
    }
    if (request.term > m_hardState.term)
        becomeFollower(request.term, {}, now);
    bool voteAvailable = m_hardState.votedFor.empty() || m_hardState.votedFor == from;
    answer.granted
        = request.term == m_hardState.term && voteAvailable && isUpToDate(request.lastIndex, request.lastTerm);
    answer.term = m_hardState.term;
    if (answer.granted) {
        m_hardState.votedFor = from;
        m_ready.hardState = m_hardState;
        resetElectionTimer(now);
    }
    m_ready.messagesAfterPersist.push_back({ from, answer });
}

void Replica::onVoteAnswer(const std::string& from, const wire::VoteAnswer& answer, Instant now)
{
    if (!answer.granted && answer.term > m_hardState.term)
        return becomeFollower(answer.term, {}, now);
    if (!answer.granted || !isVoter(from))
        return;
    bool isExpected = answer.preVote ? m_role == Role::PreCandidate && answer.term == m_hardState.term + 1
                                     : m_role == Role::Candidate && answer.term == m_hardState.term;
    if (!isExpected)
        return;
    m_votes.insert(from);
    if (m_votes.size() < majority())
        return;
    if (answer.preVote)
        startElection(now);
    else
        becomeLeader(now);
}

void Replica::sendAppendAnswer(const std::string& to, bool success, int64_t match, int64_t round)
{
    wire::AppendAnswer answer;
    answer.term = m_hardState.term;
    answer.success = success;
    answer.match = match;
    answer.round = round;
    answer.recovering = m_recovering;
    answer.diskId = m_diskId;
    m_ready.messagesAfterPersist.push_back({ to, answer });
}

void Replica::onAppendRequest(const std::string& from, const wire::AppendRequest& request, Instant now)
{
    if (request.term < m_hardState.term)
        return sendAppendAnswer(from, false, lastIndex(), 0);
    becomeFollower(request.term, from, now);
    m_lastLeaderContact = now;
    // The entries follow a compacted index, which is committed; the answer tells the leader where to go on.
    if (request.prevIndex < m_logBaseIndex)
        return sendAppendAnswer(from, true, m_commitIndex, request.round);
    if (termAt(request.prevIndex) != request.prevTerm)
        return sendAppendAnswer(from, false, std::min(lastIndex(), request.prevIndex - 1), request.round);
    auto stored = static_cast<int64_t>(storeEntries(request.entries));
    int64_t match = request.prevIndex + stored;
    commitTo(std::max(m_commitIndex, std::min(request.commit, match)));
    sendAppendAnswer(from, true, match, request.round);
}

size_t Replica::storeEntries(const std::vector<wire::Entry>& entries)
{
    for (const auto& it : entries) {
        if (termAt(it.index) == it.term)
            continue;
        if (it.index <= lastIndex())
            truncateFrom(it.index);
        appendEntry(it);
    }
    return entries.size();
}

void Replica::onAppendAnswer(const std::string& from, const wire::AppendAnswer& answer, Instant now)
{
    if (answer.term > m_hardState.term)
        return becomeFollower(answer.term, {}, now);
    auto it = m_progress.find(from);
    if (!isLeader() || answer.term < m_hardState.term || it == m_progress.end())
        return;
    auto& progress = it->second;
    progress.lastAck = now;
    progress.recovering = answer.recovering;
    progress.diskId = answer.diskId;
    progress.ackedRound = std::max(progress.ackedRound, answer.round);
    if (!answer.success) {
        // `next` never falls back behind what the peer has acknowledged, because refusals can arrive out of order. The
        // exception is a peer that lost its disk: it says that it is recovering and holds less than it acknowledged.
        progress.next = answer.recovering ? answer.match + 1 : std::max(progress.match + 1, answer.match + 1);
        if (answer.recovering)
            progress.match = std::min(progress.match, answer.match);
        // While a snapshot is in flight, sendAppend() would send the peer only a heartbeat. The peer refuses each
        // heartbeat until it has the snapshot, because its log lacks the entry before the request. Answering each
        // refusal with a heartbeat would therefore never end; the periodic broadcasts suffice.
        bool snapshotPending = progress.next < firstIndex() && snapshotInFlight(progress, now);
        if (!snapshotPending)
            sendAppend(from, now);
        return;
    }
    progress.match = std::max(progress.match, answer.match);
    progress.next = std::max(progress.next, progress.match + 1);
    if (progress.match >= firstIndex() - 1)
        progress.snapshotSentAt = Instant();
    advanceCommit();
    maybeProposeReinstate(from, progress, now);
    if (progress.next <= lastIndex())
        sendAppend(from, now);
}

// Proposes to let a host with a new disk vote again, once it holds every entry that may have been committed. The entry
// is committed by the other voters, because acknowledgements of a recovering host do not count.
void Replica::maybeProposeReinstate(const std::string& peer, Progress& progress, Instant now)
{
    bool caughtUp = progress.match >= m_commitIndex && hasCommittedInTerm();
    bool recentlyProposed
        = progress.reinstateProposedAt != Instant() && now - progress.reinstateProposedAt < REINSTATE_RETRY_INTERVAL;
    if (!progress.recovering || !isMember(peer) || !caughtUp || recentlyProposed)
        return;
    progress.reinstateProposedAt = now;
    wire::Reinstate reinstate;
    reinstate.member = peer;
    reinstate.diskId = progress.diskId;
    propose(wire::EntryKind::REINSTATE, base::encode(reinstate), now);
}

void Replica::onSnapshotRequest(const std::string& from, const wire::SnapshotRequest& request, Instant now)
{
    if (request.term < m_hardState.term)
        return sendAppendAnswer(from, false, lastIndex(), 0);
    becomeFollower(request.term, from, now);
    m_lastLeaderContact = now;
    const auto& snapshot = request.snapshot;
    if (snapshot.index <= m_commitIndex)
        return sendAppendAnswer(from, true, m_commitIndex, request.round);
    m_log.clear();
    m_ready.entriesToAppend.clear();
    m_ready.committed.clear();
    m_snapshot = snapshot;
    m_logBaseIndex = snapshot.index;
    m_logBaseTerm = snapshot.term;
    m_commitIndex = snapshot.index;
    m_persistedIndex = snapshot.index;
    m_memberships = { { snapshot.index, snapshot.membership } };
    m_ready.snapshotToInstall = snapshot;
    sendAppendAnswer(from, true, snapshot.index, request.round);
}

Ready Replica::takeReady()
{
    Ready ready = std::move(m_ready);
    m_ready = {};
    return ready;
}

} // namespace pomelowind::members
