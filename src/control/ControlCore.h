// The single-threaded core of a control host. It joins the replica of the log, the configuration state machine, the
// publisher of deltas, the presence directory, moves and claim epochs. It does no I/O: its inputs are method calls that
// carry the time, and its outputs go to ControlOutputs.
//
// The flow of a submission: submit -> propose to the log -> durable on a majority -> apply -> reply and publish to
// subscribers. On a follower, the submission is forwarded to the leader first.
#pragma once

#include "ClaimEpochPlanner.h"
#include "ControlOutputs.h"
#include "MoveDriver.h"
#include "QuotaController.h"
#include "pomelowind/config/ConfigMachine.h"
#include "pomelowind/control/ControlSettings.h"
#include "pomelowind/nodes/AckTable.h"
#include "pomelowind/nodes/ConfigPublisher.h"
#include "pomelowind/nodes/Directory.h"
#include "pomelowind/nodes/FreshnessProof.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace pomelowind::control {

using BarrierDone = std::function<void(bool)>; // true: this host may serve the read
using SubmissionReply = std::function<void(const wire::CommandResult&)>;

// Makes all decisions of a control host. Thread safety: confined to the decision thread.
class ControlCore {
public:
    // Restores the state machine from the snapshot in `durable`. Precondition: `settings` and `outputs` outlive the
    // core.
    ControlCore(const ControlSettings& settings, members::DurableState durable, ControlOutputs& outputs,
        base::Instant now, int64_t wallMs, uint64_t seed);

    // ---- inputs ----
    // Runs the periodic work: timeouts, elections, heartbeats, beacons, moves and membership changes.
    void tick(base::Instant now, int64_t wallMs);
    // Handle a frame from another control host or from a node. Throw UserError on an unexpected or malformed frame.
    void handleMemberFrame(
        const std::string& member, links::Kind kind, std::string_view payload, base::Instant now, int64_t wallMs);
    void handleNodeFrame(
        const std::string& node, links::Kind kind, std::string_view payload, base::Instant now, int64_t wallMs);
    // The link of a node has closed.
    void handleNodeDisconnected(const std::string& node, base::Instant now);
    // A link to another control host is ready. Sends it the presence and the acknowledgements that this host knows.
    void handleMemberConnected(const std::string& member);
    // A write passed to ControlOutputs::persist() is durable.
    void handleDiskResult(DiskResult result, base::Instant now);
    // Proposes a command to the log, or forwards it to the leader. `reply` is called once, on the decision thread; it
    // gets UNAVAILABLE when the outcome is not known in time.
    void submit(wire::Command command, SubmissionReply reply, base::Instant now, int64_t wallMs);
    // Linearizable read barrier: calls `done` with true once this host has applied everything that was accepted before
    // the call, or with false when that cannot be established.
    void readBarrier(BarrierDone done, base::Instant now);
    // Replies to all submissions and read barriers that still wait: UNAVAILABLE, and false. The log may accept such a
    // submission later.
    void endRequests();
    // Proposes new voters and learners of the control group. Returns false when this host does not lead, another
    // change is in flight, or more than one voter differs.
    bool changeMembers(const wire::Membership& next, base::Instant now);

    // Replaces the data centres that can be evacuated; see ControlSettings::dataCentres.
    void setDataCentres(std::vector<std::string> names) { m_dataCentres = std::move(names); }

    // ---- views ----
    const config::ConfigMachine& machine() const { return m_machine; }
    const members::Replica& replica() const { return m_replica; }
    const nodes::Directory& directory() const { return m_directory; }
    const nodes::AckTable& acks() const { return m_acks; }
    const MoveDriver& moveDriver() const { return m_moveDriver; }
    const QuotaController& quota() const { return m_quota; }
    const nodes::ConfigPublisher& publisher() const { return m_publisher; }
    base::Instant now() const { return m_now; }
    // Returns for how long this process has run. Nodes report themselves to it only after its start.
    base::Millis uptime() const { return std::chrono::duration_cast<base::Millis>(m_now - m_started); }
    int64_t wallMs() const { return m_wallMs; }

private:
    // A submission or read barrier that waits for the log or for the leader's answer.
    struct PendingRequest {
        int64_t term { 0 };
        SubmissionReply reply;
        base::Instant deadline;
    };

    void setTime(base::Instant now, int64_t wallMs);
    void processReady();
    void handleReady(members::Ready ready);
    void logRoleChange();
    void sendMessages(const std::vector<members::OutgoingMessage>& messages);
    void applyEntry(const wire::Entry& entry);
    wire::CommandResult applyCommand(const wire::Entry& entry);
    void restoreSnapshot(const wire::SnapshotRecord& snapshot);
    void completeReads();
    void logMoveEvent(const wire::MoveEvent& event) const;
    void completeProposal(const wire::Entry& entry, const wire::CommandResult& result);
    void expireRequests();
    void failForwardsToPreviousLeader();
    void maybeSnapshot();
    bool isDiskBehind() const;
    void logDiskBacklog();
    void publish();

    std::optional<wire::CommandResult> checkEvacuationOrder(const wire::Command& command) const;
    bool runsNewestVersion() const;
    void handleForwardRequest(const std::string& member, const wire::ForwardRequest& request);
    void handleForwardAnswer(const wire::ForwardAnswer& answer);
    void handleMemberReport(const std::string& member, const wire::MemberReport& report);
    void handleSubscribe(const std::string& node, const wire::Subscribe& request);
    void mergeReport(const wire::Report& report, bool fromNode);
    void recordReportedDepartures(nodes::DirectoryEntries& change);
    void addRecordedDepartures(const std::vector<wire::Departure>& departures);
    void proposeDepartures();
    void proveDirectories();
    void broadcastToNodes(const wire::Spread& spread);
    void broadcastToMembers(const wire::MemberReport& report);

    wire::FreshnessAnswer answerFreshness(const wire::FreshnessRequest& request);
    void askLeaderForProof();
    void tickQuota(bool leadsWithLease);
    void learnLimits();
    void countNodes();
    void sendUsage();
    void publishRatios();
    void sendBeacon();
    void proposeClaimEpoch();
    void proposeMoveEvents();
    void recordContact(const std::string& member);
    void proposeMembershipChange();
    void announceMembers();
    std::vector<std::string> votersAndLearners() const;
    void reportExpiredNodes();

    const ControlSettings& m_settings;
    ControlOutputs& m_outputs;
    std::vector<std::string> m_dataCentres; // see ControlSettings
    const base::Instant m_started;
    base::Instant m_now;
    int64_t m_wallMs;
    members::Replica m_replica;
    config::ConfigMachine m_machine;
    nodes::ConfigPublisher m_publisher;
    nodes::Directory m_directory;
    nodes::AckTable m_acks;
    MoveDriver m_moveDriver;
    ClaimEpochPlanner m_epochPlanner;
    QuotaController m_quota;
    callers::UsageBatch m_usage; // of the nodes that report to this host
    std::vector<wire::AccountRatio> m_accountRatios; // as the leader has published them
    int64_t m_limitsVersion { -1 }; // of the configuration whose limits m_quota has
    bool m_leadsQuota { false };
    bool m_ratiosChanged { false };
    base::Instant m_quotaDue, m_nodeCountDue, m_usageDue, m_ratiosDue;

    // Targets that have announced their departure, until that is in the log. Each host remembers them, for it may lead
    // next.
    std::set<std::string> m_unrecordedDepartures;
    int64_t m_departuresIndex { 0 }; // log index and term of the last proposal of departures
    int64_t m_departuresTerm { 0 };
    // Subscribers that have not been told yet that they have all recorded departures.
    std::set<std::string> m_unprovenDirectories;
    std::set<std::string> m_directoriesInProof; // of these, those that a read barrier in flight will prove
    bool m_provingDirectories { false };
    base::Instant m_proveDirectoriesDue;

    nodes::FreshnessProof m_freshness; // of m_machine
    base::Instant m_freshnessAskedAt; // by a node; unset: never
    base::Instant m_freshnessDue;

    std::map<std::string, base::Instant> m_lastContact; // last contact of each known control host
    base::Instant m_announceDue;
    base::Instant m_membershipDue;

    std::string m_loggedRole;
    std::map<int64_t, PendingRequest> m_pendingProposals; // proposed on this host, by log index
    std::map<int64_t, PendingRequest> m_pendingForwards; // sent to the leader, by request id
    std::multimap<int64_t, BarrierDone> m_pendingReads; // read barriers, by the log index that has to be applied first
    std::string m_forwardedTo; // leader to which m_pendingForwards were sent
    int64_t m_nextForwardId { 1 };
    int64_t m_appliedIndex { 0 }; // log index
    int64_t m_snapshotIndex { 0 };
    size_t m_snapshotBytes { 0 };
    size_t m_bytesSinceSnapshot { 0 }; // size of the commands applied since the last snapshot
    bool m_snapshotInFlight { false };
    int m_outstandingDiskWork { 0 }; // writes passed to persist() that are not durable yet
    bool m_loggedDiskBehind { false };
    bool m_processingReady { false }; // guards processReady() against recursion
    base::Instant m_beaconDue;
    base::Instant m_evidenceBatchDue;
    int64_t m_beaconSequence { 0 };
    wire::Beacon m_lastBeacon;
};

} // namespace pomelowind::control
