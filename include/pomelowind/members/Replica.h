// One replica of the configuration log: leader election with pre-vote and check-quorum, replication, membership.
// A decision class: it takes messages and the time, and returns what to persist, send and apply. It does no I/O.
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

// Any message between replicas.
using Message
    = std::variant<wire::VoteRequest, wire::VoteAnswer, wire::AppendRequest, wire::AppendAnswer, wire::SnapshotRequest>;

struct Outgoing {
    std::string to;
    Message message;
};

// Times and bounds of a replica.
struct ReplicaOptions {
    std::string self;
    base::Millis electionTimeout { 400 };
    base::Millis heartbeat { 80 };
    size_t batchEntries { 64 };
    size_t batchBytes { 256 * 1024 };
    size_t inFlightProposals { 256 };
    size_t keptEntries { 512 };
    uint64_t seed { 1 };
};

// What the replica wants done, in this order: send `messages`; make the durable part durable; send `afterDurable`;
// apply `committed`.
struct Ready {
    std::optional<wire::HardState> hardState;
    std::optional<wire::SnapshotRecord> install;
    std::vector<wire::Entry> append;
    bool reinstated { false };
    std::vector<Outgoing> messages;
    std::vector<Outgoing> afterDurable;
    std::vector<wire::Entry> committed;
    bool needsDisk() const { return hardState || install || !append.empty() || reinstated; }
};

// What a leader knows of another member.
struct PeerStatus {
    bool caughtUp { false }; // holds all committed entries
    bool recovering { false }; // may not vote yet after it lost its disk
    base::Instant lastAck;
};

enum class Role { Follower, PreCandidate, Candidate, Leader };

// Thread safety: confined to the decision duty.
class Replica {
public:
    Replica(ReplicaOptions options, DurableState durable, base::Instant now);

    // Passes time. To be called at least every heartbeat / 2.
    void tick(base::Instant now);
    // Takes a message from `from`. Messages may be lost, repeated and reordered.
    void receive(const std::string& from, const Message& message, base::Instant now);
    // Appends an entry when this replica leads; returns its index, or nothing when it does not lead or is busy.
    std::optional<int64_t> propose(wire::EntryKind::type kind, std::string data, base::Instant now);
    // Proposes a membership. Nothing when another change is in flight or more than one voter differs.
    std::optional<int64_t> proposeMembership(const wire::Membership& next, base::Instant now);
    // Collects the work since the last call.
    Ready takeReady();
    // The entries up to (index, term) are durable on this host.
    void persisted(int64_t index, int64_t term);
    // The state machine's image at `index` is durable as a snapshot; older entries may go.
    // Precondition: index has been handed out as committed.
    void compacted(wire::SnapshotRecord snapshot);

    // Precondition: this replica leads. Nothing for a host that is not a member.
    std::optional<PeerStatus> peerStatus(const std::string& peer) const;

    Role role() const { return m_role; }
    bool isLeader() const { return m_role == Role::Leader; }
    // True while no other replica can have become leader. Only then may this leader answer reads and send beacons.
    bool hasLease(base::Instant now) const;
    // True when this leader has committed an entry of its own term, so its state holds all accepted entries.
    bool isCurrent() const;
    // True when this host's committed state is recent: it leads with a lease or has just heard the leader. A host that
    // sits behind a partition is not fresh and must not feed nodes.
    bool isFresh(base::Instant now) const;
    // Membership in force at a committed index, for a snapshot there.
    const wire::Membership& membershipAt(int64_t index) const;
    const std::string& leader() const { return m_leader; }
    const wire::HardState& hardState() const { return m_hardState; }
    int64_t term() const { return m_hardState.term; }
    int64_t commitIndex() const { return m_commit; }
    int64_t lastIndex() const;
    int64_t termAt(int64_t index) const;
    bool isRecovering() const { return m_recovering; }
    const wire::Membership& membership() const { return m_memberships.back().second; }
    const std::optional<wire::SnapshotRecord>& snapshot() const { return m_snapshot; }

private:
    struct Progress {
        int64_t next { 1 };
        int64_t match { 0 };
        int64_t ackedRound { 0 };
        bool recovering { false };
        std::string diskId;
        base::Instant lastAck;
        base::Instant snapshotSent;
        base::Instant reinstateProposed;
    };

    void becomeFollower(int64_t term, const std::string& leader, base::Instant now);
    void startPreVote(base::Instant now);
    void startElection(base::Instant now);
    void becomeLeader(base::Instant now);
    void resetElectionTimer(base::Instant now);
    void follow(const std::string& leader);
    base::Millis upTo(base::Millis most);

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
    void answerAppend(const std::string& to, bool success, int64_t match, int64_t round);
    size_t storeEntries(const std::vector<wire::Entry>& entries);
    void appendEntry(wire::Entry entry);
    void truncateFrom(int64_t index);
    void advanceCommit();
    void commitTo(int64_t index);
    void noteCommitted(const wire::Entry& entry);
    void maybeReinstate(const std::string& peer, Progress& progress, base::Instant now);
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
    int64_t m_logStart { 0 }; // index before m_log.front()
    int64_t m_logStartTerm { 0 };
    std::vector<std::pair<int64_t, wire::Membership>> m_memberships;
    int64_t m_commit { 0 };
    int64_t m_persisted { 0 };

    Role m_role { Role::Follower };
    std::string m_leader;
    bool m_heardLeader { false }; // since the start
    std::set<std::string> m_votes;
    base::Instant m_electionDue;
    base::Instant m_leaderContact;
    base::Instant m_heartbeatDue;
    std::map<std::string, Progress> m_progress;
    base::Instant m_now;
    int64_t m_round { 0 };
    std::deque<std::pair<int64_t, base::Instant>> m_roundTimes;
    Ready m_ready;
};

} // namespace pomelowind::members
