// One replica of the Raft-like configuration log: leader election with pre-vote and check-quorum, leader lease,
// replication, snapshots and membership changes. Configuration changes pass through this log before every control host
// applies them to its ConfigMachine.
// Does no I/O and reads no clock: messages and the time are passed in, and Ready says what to persist, send and apply.
#pragma once

#include "pomelowind/base/Random.h"
#include "pomelowind/base/Time.h"
#include "pomelowind/members/LogStore.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace pomelowind::members {

// A message between replicas.
using Message
    = std::variant<wire::VoteRequest, wire::VoteAnswer, wire::AppendRequest, wire::AppendAnswer, wire::SnapshotRequest>;

// A message and the host that it is sent to.
struct OutgoingMessage {
    std::string to;
    Message message;
};

// Identity, timeouts and limits of a replica.
struct ReplicaOptions {
    std::string self; // id of this host
    base::Millis electionTimeout { 400 }; // minimum; a random part of up to the same length is added
    base::Millis heartbeatInterval { 80 }; // period
    size_t maxBatchEntries { 64 }; // limit for one AppendRequest
    size_t maxBatchBytes { 256 * 1024 }; // an AppendRequest takes no further entry once it holds this much
    size_t maxInFlightProposals { 256 }; // number of uncommitted entries at which propose() refuses
    size_t retainedEntries { 512 }; // entries kept below a snapshot's index, so that slow followers need no snapshot
    uint64_t seed { 1 }; // of the random election timeouts
};

// Pending work of a replica, as in etcd's raft. The caller carries it out in this order: send `messages`; persist
// `snapshotToInstall`, `hardState`, `entriesToAppend` and `reinstated`; send `messagesAfterPersist`; apply `committed`.
struct Ready {
    std::optional<wire::HardState> hardState;
    std::optional<wire::SnapshotRecord> snapshotToInstall; // snapshot received from the leader; replaces the log
    std::vector<wire::Entry> entriesToAppend; // replace the stored entries from entriesToAppend.front().index on
    bool reinstated { false }; // this host may vote again after the loss of its disk
    std::vector<OutgoingMessage> messages;
    std::vector<OutgoingMessage> messagesAfterPersist; // messages that promise that the rest is durable
    std::vector<wire::Entry> committed;
    // Returns true when there is something to persist.
    bool needsPersist() const { return hardState || snapshotToInstall || !entriesToAppend.empty() || reinstated; }
};

// The leader's view of another member.
struct PeerStatus {
    bool caughtUp { false }; // holds all committed entries
    bool recovering { false }; // lost its disk and must not vote until it is reinstated
    base::Instant lastAck; // time of its last AppendAnswer
};

enum class Role { Follower, PreCandidate, Candidate, Leader };

// One member of the group. Thread safety: confined to the event loop thread of ControlCore.
class Replica {
public:
    Replica(ReplicaOptions options, DurableState durable, base::Instant now);

    // Handles timeouts: starts elections, sends heartbeats and checks the quorum. Must be called at least every
    // heartbeatInterval / 2.
    void tick(base::Instant now);
    // Handles a message from the host `from`. Messages may be lost, duplicated and reordered.
    void receive(const std::string& from, const Message& message, base::Instant now);
    // Appends an entry and replicates it. Returns its index, or nothing when this replica is not the leader or has
    // ReplicaOptions::maxInFlightProposals uncommitted entries.
    std::optional<int64_t> propose(wire::EntryKind::type kind, std::string data, base::Instant now);
    // Proposes a membership change and returns the index of its entry. Returns nothing when propose() would, when the
    // leader has not committed an entry of its term, when another change is uncommitted, when `next` has no voters or
    // when more than one voter differs.
    std::optional<int64_t> proposeMembership(const wire::Membership& next, base::Instant now);
    // Returns the work that has accumulated since the last call.
    Ready takeReady();
    // Reports that the entries up to (index, term) are durable on this host.
    void onPersisted(int64_t index, int64_t term);
    // Reports that a snapshot of the state machine at `snapshot.index` is durable. Discards older entries but for
    // ReplicaOptions::retainedEntries. Precondition: the entry at `snapshot.index` has been returned in
    // Ready::committed.
    void onSnapshotPersisted(wire::SnapshotRecord snapshot);

    // Returns the state of a peer, or nothing for a host that is not a member. Precondition: this replica is the
    // leader.
    std::optional<PeerStatus> peerStatus(const std::string& peer) const;

    Role role() const { return m_role; }
    bool isLeader() const { return m_role == Role::Leader; }
    // Returns true when this replica leads and no other replica can have become leader. Only a leader with a lease may
    // answer reads and send heartbeats (beacons) to nodes.
    bool hasLease(base::Instant now) const;
    // Returns true when this replica leads and has committed an entry of its own term, so that its state holds all
    // accepted entries.
    bool hasCommittedInTerm() const;
    // Returns true when this host's committed state is recent: it leads with a lease, or it received a message from the
    // leader within two election timeouts. A partitioned host has no recent state and must not publish to nodes.
    bool hasRecentState(base::Instant now) const;
    // Returns the membership in force at a committed index. A snapshot at that index has to contain it.
    const wire::Membership& membershipAt(int64_t index) const;
    // Returns the id of the leader, or an empty string when it is unknown.
    const std::string& leader() const { return m_leader; }
    const wire::HardState& hardState() const { return m_hardState; }
    int64_t term() const { return m_hardState.term; }
    int64_t commitIndex() const { return m_commitIndex; }
    int64_t lastIndex() const;
    // Returns the term of the entry at `index`, or -1 when the log does not hold it.
    int64_t termAt(int64_t index) const;
    bool isRecovering() const { return m_recovering; }
    // Returns the latest membership in the log, which is in force before it is committed.
    const wire::Membership& membership() const { return m_memberships.back().second; }
    const std::optional<wire::SnapshotRecord>& snapshot() const { return m_snapshot; }

private:
    // Replication progress of one peer, as the leader sees it. A default Instant means never.
    struct Progress {
        int64_t next { 1 }; // index of the next entry to send
        int64_t match { 0 }; // highest index known to be durable at the peer
        int64_t ackedRound { 0 }; // latest round of requests that the peer has answered
        bool recovering { false };
        std::string diskId;
        base::Instant lastAck;
        base::Instant snapshotSentAt;
        base::Instant reinstateProposedAt;
    };

    void becomeFollower(int64_t term, const std::string& leader, base::Instant now);
    void startPreVote(base::Instant now);
    void startElection(base::Instant now);
    void becomeLeader(base::Instant now);
    void resetElectionTimer(base::Instant now);
    void recordLeader(const std::string& leader);
    base::Millis randomUpTo(base::Millis max);

    void onVoteRequest(const std::string& from, const wire::VoteRequest& request, base::Instant now);
    void onVoteAnswer(const std::string& from, const wire::VoteAnswer& answer, base::Instant now);
    void onAppendRequest(const std::string& from, const wire::AppendRequest& request, base::Instant now);
    void onAppendAnswer(const std::string& from, const wire::AppendAnswer& answer, base::Instant now);
    void onSnapshotRequest(const std::string& from, const wire::SnapshotRequest& request, base::Instant now);

    bool canVote() const;
    bool isUpToDate(int64_t lastIndex, int64_t lastTerm) const;
    void sendVoteRequests(bool preVote);
    void broadcastAppend(base::Instant now);
    void sendAppend(const std::string& peer, base::Instant now);
    void sendSnapshot(const std::string& peer, Progress& progress, base::Instant now);
    static bool snapshotInFlight(const Progress& progress, base::Instant now);
    void sendAppendAnswer(const std::string& to, bool success, int64_t match, int64_t round);
    size_t storeEntries(const std::vector<wire::Entry>& entries);
    void appendEntry(wire::Entry entry);
    void truncateFrom(int64_t index);
    void advanceCommit();
    void commitTo(int64_t index);
    void onCommitted(const wire::Entry& entry);
    void maybeProposeReinstate(const std::string& peer, Progress& progress, base::Instant now);
    void checkQuorum(base::Instant now);
    bool isVoter(const std::string& member) const;
    bool isMember(const std::string& host) const;
    size_t majority() const;
    std::vector<std::string> peers() const;
    const wire::Entry* entryAt(int64_t index) const;
    int64_t firstIndex() const;

    ReplicaOptions m_options;
    base::Random m_random;
    std::string m_diskId;
    bool m_recovering;
    wire::HardState m_hardState;
    std::optional<wire::SnapshotRecord> m_snapshot;
    std::deque<wire::Entry> m_log;
    int64_t m_logBaseIndex { 0 }; // index of the entry before m_log.front()
    int64_t m_logBaseTerm { 0 };
    std::vector<std::pair<int64_t, wire::Membership>> m_memberships; // index of the entry and its membership
    int64_t m_commitIndex { 0 };
    int64_t m_persistedIndex { 0 }; // highest index that is durable on this host

    Role m_role { Role::Follower };
    std::string m_leader;
    bool m_hasSeenLeader { false }; // a leader was known at some time since this process started
    std::set<std::string> m_votes;
    base::Instant m_electionDeadline;
    base::Instant m_lastLeaderContact;
    base::Instant m_nextHeartbeat;
    std::map<std::string, Progress> m_progress;
    base::Instant m_now;
    // The leader numbers its broadcasts; the lease starts when the latest one that a majority answered was sent.
    int64_t m_round { 0 };
    std::deque<std::pair<int64_t, base::Instant>> m_roundSendTimes;
    Ready m_ready;
};

} // namespace pomelowind::members
