// The decisions of a control host, in one place: the replica of the log, the state machine, the feeder, presence,
// moves and claim epochs. It does no I/O: inputs are method calls with the time, outputs go to ControlOutputs.
//
// The flow of a submission: submit -> propose -> durable on a majority -> apply -> answer, publish to subscribers.
#pragma once

#include "ClaimEpochPlanner.h"
#include "ControlOutputs.h"
#include "MoveDriver.h"
#include "pomelowind/config/ConfigMachine.h"
#include "pomelowind/control/ControlSettings.h"
#include "pomelowind/nodes/Acks.h"
#include "pomelowind/nodes/Directory.h"
#include "pomelowind/nodes/Feeder.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace pomelowind::control {

using BarrierDone = std::function<void(bool)>;
using SubmissionReply = std::function<void(const wire::CommandResult&)>;

// Thread safety: confined to the decision duty.
class ControlCore {
public:
    ControlCore(const ControlSettings& settings, members::DurableState durable, ControlOutputs& outputs,
        base::Instant now, int64_t wallMs, uint64_t seed);

    // ---- inputs ----
    void tick(base::Instant now, int64_t wallMs);
    void memberFrame(
        const std::string& member, links::Kind kind, std::string_view payload, base::Instant now, int64_t wallMs);
    void nodeFrame(
        const std::string& node, links::Kind kind, std::string_view payload, base::Instant now, int64_t wallMs);
    void nodeDisconnected(const std::string& node, base::Instant now);
    // A link to another member is ready; it gets what this host knows of presence.
    void memberConnected(const std::string& member);
    void diskDone(DiskDone done, base::Instant now);
    // Takes a submission, here or at the leader; `reply` is called once, on the decision duty.
    void submit(wire::Command command, SubmissionReply reply, base::Instant now, int64_t wallMs);
    // Calls `done` with true once this host's state holds everything accepted before now, or with false when that
    // cannot be had.
    void readBarrier(BarrierDone done, base::Instant now);
    // Changes the members of the control group; returns false when that is not possible now.
    bool changeMembers(const wire::Membership& next, base::Instant now);

    // ---- views ----
    const config::ConfigMachine& machine() const { return m_machine; }
    const members::Replica& replica() const { return m_replica; }
    const nodes::Directory& directory() const { return m_directory; }
    const nodes::Acks& acks() const { return m_acks; }
    const MoveDriver& moveDriver() const { return m_moves; }
    const nodes::Feeder& feeder() const { return m_feeder; }
    base::Instant now() const { return m_now; }
    int64_t wallMs() const { return m_wallMs; }

private:
    struct Pending {
        int64_t term { 0 };
        SubmissionReply reply;
        base::Instant due;
    };

    void advance(base::Instant now, int64_t wallMs);
    void pump();
    void handle(members::Ready ready);
    void logRole();
    void sendAll(const std::vector<members::Outgoing>& messages);
    void applyEntry(const wire::Entry& entry);
    void restoreSnapshot(const wire::SnapshotRecord& snapshot);
    void releaseReads();
    void logMove(const wire::MoveEvent& event) const;
    void answerPending(const wire::Entry& entry, const wire::CommandResult& result);
    void expirePending();
    void dropForwards();
    void maybeSnapshot();
    void publish();

    void forwardRequest(const std::string& member, const wire::ForwardRequest& request);
    void forwardAnswer(const wire::ForwardAnswer& answer);
    void memberReport(const wire::MemberReport& report);
    void subscribe(const std::string& node, const wire::Subscribe& request);
    void takeReport(const wire::Report& report, bool fromNode);
    void spread(const wire::Spread& spread);
    void broadcastToMembers(const wire::MemberReport& report);

    void sendBeacon();
    void proposeEpoch();
    void driveMoves();
    void noteMember(const std::string& member);
    void driveMembership();
    void greetMembers();
    std::vector<std::string> memberList() const;
    void reportExpired();

    const ControlSettings& m_settings;
    ControlOutputs& m_outputs;
    base::Instant m_now;
    int64_t m_wallMs;
    members::Replica m_replica;
    config::ConfigMachine m_machine;
    nodes::Feeder m_feeder;
    nodes::Directory m_directory;
    nodes::Acks m_acks;
    MoveDriver m_moves;
    ClaimEpochPlanner m_epochs;

    std::map<std::string, base::Instant> m_heard; // control hosts and when they were last heard
    base::Instant m_greetDue;
    base::Instant m_membershipDue;

    std::string m_loggedRole;
    std::map<int64_t, Pending> m_pending;
    std::map<int64_t, Pending> m_forwards;
    std::multimap<int64_t, BarrierDone> m_reads; // by the log index they wait for
    std::string m_forwardLeader; // where the forwards went
    int64_t m_nextForward { 1 };
    int64_t m_applied { 0 };
    int64_t m_snapshotIndex { 0 };
    size_t m_snapshotBytes { 0 };
    size_t m_appliedBytes { 0 }; // commands applied since the last snapshot
    bool m_snapshotInFlight { false };
    int m_diskOutstanding { 0 };
    bool m_pumping { false };
    base::Instant m_beaconDue;
    base::Instant m_batchDue;
    int64_t m_beaconSequence { 0 };
    wire::Beacon m_lastBeacon;
};

} // namespace pomelowind::control
