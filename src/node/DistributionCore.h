// State machine of a node's place in the configuration fan-out tree: chooses the parent, applies the configuration
// versions it publishes, relays them and target presence to the children, and reports upwards. It does no I/O: inputs
// are method calls with the current time, outputs go to DistributionOutputs.
//
// Flow of a version: DELTA from the parent -> apply as a whole or reject -> hand to the calls event loop -> publish to
// the children -> acknowledge to the parent.
#pragma once

#include "pomelowind/callers/UsageBatch.h"
#include "pomelowind/links/Link.h"
#include "pomelowind/node/MeshView.h"
#include "pomelowind/node/NodeSettings.h"
#include "pomelowind/node/TargetRegistry.h"
#include "pomelowind/nodes/AckTable.h"
#include "pomelowind/nodes/ConfigPublisher.h"
#include "pomelowind/nodes/Directory.h"
#include "pomelowind/nodes/FreshnessProof.h"
#include "pomelowind/nodes/ParentChooser.h"
#include "pomelowind/targets/ColdState.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pomelowind::node {

// Outputs of DistributionCore, called on the distribution event loop.
class DistributionOutputs {
public:
    virtual ~DistributionOutputs() = default;
    // Replaces the link to the parent; nullopt closes it.
    virtual void connectParent(std::optional<nodes::Parent> parent) = 0;
    virtual void sendParent(links::Kind kind, std::string payload) = 0;
    virtual void sendChild(const std::string& child, links::Kind kind, std::string payload) = 0;
    // Opens a short-lived link to a peer, sends the digest, and passes the answer to digestAnswered().
    virtual void exchangeDigest(const base::Address& peer, std::string payload) = 0;
    // Passes a new snapshot to the call path.
    virtual void publish(MeshViewPtr view) = 0;
    // Passes the current targets of this host to the call path, which puts a gate in front of each.
    virtual void publishLocalTargets(std::vector<Announcement> targets) = 0;
};

// Thread safety: confined to the distribution event loop.
class DistributionCore {
public:
    DistributionCore(
        const NodeSettings& settings, DistributionOutputs& outputs, base::Instant now, int64_t wallMs, uint64_t seed);

    // ---- inputs ----
    // Does the periodic work; to be called every 50 ms or so.
    void tick(base::Instant now);
    void parentReady(const std::string& parent, base::Instant now);
    void parentClosed(const std::string& parent, base::Instant now);
    void parentFrame(links::Kind kind, std::string_view payload, base::Instant now);
    void childFrame(const std::string& child, links::Kind kind, std::string_view payload, base::Instant now);
    void childDisconnected(const std::string& child, base::Instant now);
    void digestAnswered(std::string_view payload, base::Instant now);
    // Returns the encoded answer to a peer's encoded digest. Throws UserError(Protocol).
    std::string answerDigest(std::string_view payload, base::Instant now) const;
    // Registers a target of this host or renews its lease; announcements that are out of date are ignored. Throws
    // UserError(InvalidInput) when the target is not one of this host.
    void announce(const Announcement& announcement, base::Instant now);
    // Drains a target of this host that has announced its departure; see TargetRegistry::depart().
    void depart(const std::string& target, std::optional<int64_t> incarnation, base::Instant now);
    // Calls `done` when the departure that a target of this host has announced last is recorded; see
    // TargetRegistry::whenRecorded().
    void whenRecorded(const std::string& target, std::function<void(bool)> done, base::Instant now);
    // Drains a target of this host that has said in a response that it leaves. Its announcements go on renewing its
    // lease, but only a new incarnation of it serves again.
    void drainTarget(const std::string& target, int64_t incarnation, base::Instant now);
    // Replaces the learned control hosts (mesh addresses) that may be the parent, besides the configured ones. No
    // effect unless NodeSettings::usesDiscovery is set.
    void learnControlHosts(const std::vector<std::string>& hosts);
    // Counts the targets of this host as cold until an announcement received after `now` says that they are not. Called
    // when an evacuation of this data centre has ended; no effect on targets of services without a limit while cold.
    void assumeCold(base::Instant now);
    // Adds usage of client accounts, evidence, alarms and crashes that this node's calls have found to the next report.
    void addReport(const wire::Report& report, base::Instant now);
    // Begins the stop of the node: announces its targets as draining, so that other nodes send them no new calls.
    void startDraining(base::Instant now);
    // Announces to parent and children that the node has stopped.
    void announceStop(base::Instant now);

    // ---- state ----
    const config::ConfigState& state() const { return *m_state; }
    bool isServing() const { return m_serving; }
    const nodes::Directory& directory() const { return m_directory; }
    std::string parentId() const { return m_parent ? m_parent->id : std::string(); }
    bool isAdmitted() const { return m_admitted; }
    size_t childCount() const { return m_publisher.connected().size(); }
    const std::string& rejection() const { return m_rejection; }

private:
    struct LocalTarget {
        Announcement announcement;
        base::Instant leaseEnd;
        bool announcedLeaving { false }; // by the last announcement
        bool leaving { false }; // has said so, whatever its announcements say
        targets::ColdState cold;
        base::Instant publishedColdUntil; // as other nodes know it
        bool departed { false }; // has announced its departure; later announcements of the incarnation are out of date
        bool leavesForGood() const { return leaving || departed; }
    };

    void chooseParent(base::Instant now);
    void checkIsLocal(const Announcement& announcement) const;
    void checkNumbers(const Announcement& announcement, base::Instant now) const;
    bool isOutdated(const Announcement& announcement) const;
    bool isOlderThanDirectory(const Announcement& announcement) const;
    LocalTarget& localTarget(const std::string& target);
    void retireReplacedTargets(const Announcement& announcement, base::Instant now);
    void applyRememberedNotices(const std::vector<wire::Presence>& targets, base::Instant now);
    void learnDirectory(base::Instant now);
    void takeHeldAnnouncements(base::Instant now);
    bool isCutOffSinceStart(base::Instant now) const;
    void reportDepartureNow();
    bool isRecorded(const std::string& target) const;
    void completeRecordWaiters(base::Instant now);
    int64_t wallMs(base::Instant now) const;
    void subscribe(int64_t base);
    void handleSubscribeAnswer(const wire::SubscribeAnswer& answer, base::Instant now);
    void applyDelta(const wire::Delta& delta, base::Instant now);
    void handleSpread(const wire::Spread& spread, base::Instant now);
    void handleBeacon(const wire::Beacon& beacon, base::Instant now);
    bool isNewer(const wire::Beacon& beacon) const;
    void setAccountRatios(std::vector<wire::AccountRatio> ratios);
    void flushUsage(base::Instant now);
    void handleChildSubscribe(const std::string& child, const wire::Subscribe& request, base::Instant now);
    void handleReport(const wire::Report& report, base::Instant now);
    void broadcastToChildren(const wire::Spread& spread, const std::string& except);
    void mergePresence(const std::vector<wire::NodeInfo>& nodes, const std::vector<wire::Presence>& targets,
        base::Instant now, bool fromSubtree);
    void mergeCrashes(const nodes::CrashList& crashes, base::Instant now, bool fromSubtree);
    void publishToChildren();
    void acknowledge(base::Instant now);
    void publishTarget(LocalTarget& target, base::Instant now);
    void publishLocalTargets();
    bool setColdLimit(LocalTarget& target) const;
    base::Millis coldLeft(const LocalTarget& target, base::Instant now) const;
    void followCold(LocalTarget& target, bool isNewIncarnation, base::Instant now);
    void publishColdChange(LocalTarget& target, base::Instant now);
    void followColdConfiguration(const wire::Delta& delta, int64_t fromVersion, base::Instant now);
    void reportSubtree(base::Instant now);
    void flushReport();
    void expireTargets(base::Instant now);
    void startDigestExchange(base::Instant now);
    void tickLease(base::Instant now);
    void handleFreshnessAnswer(const wire::FreshnessAnswer& answer);
    std::optional<base::Instant> keysHonouredUntil() const;
    void updateServing(base::Instant now);
    void publish(base::Instant now);
    bool beaconIsFresh(base::Instant now) const;
    wire::NodeInfo ownNodeInfo(bool isGone);

    const NodeSettings& m_settings;
    DistributionOutputs& m_outputs;
    base::Random m_random;
    nodes::ParentChooser m_parentChooser;
    nodes::ConfigPublisher m_publisher;
    nodes::Directory m_directory;
    nodes::AckTable m_acks; // of this node's subtree
    std::shared_ptr<const config::ConfigState> m_state;
    // The part of m_state that calls use: the services in the settings and what they refer to.
    std::shared_ptr<const config::ConfigState> m_activeConfig;
    std::shared_ptr<const RouteTable> m_routes;
    std::shared_ptr<const callers::AccountKeys> m_accountKeys; // replaced only when client accounts change
    std::string m_rejection;
    std::map<std::string, LocalTarget> m_localTargets;
    // Waits for the control hosts to record the departure of a target.
    struct RecordWaiter {
        std::string target;
        base::Instant deadline;
        std::function<void(bool)> done;
    };
    std::vector<RecordWaiter> m_recordWaiters;
    // A started node does not know what targets of its host have said before. Until a parent or peer that does know has
    // told it, announcements that would open a gate wait here, the latest of each target.
    bool m_directoryKnown { false };
    bool m_holdsAnnouncements { true };
    std::map<std::string, Announcement> m_heldAnnouncements;

    int64_t m_incarnation;
    int64_t m_sequence { 0 };
    int64_t m_presenceSequence { 0 };
    std::optional<nodes::Parent> m_parent;
    bool m_parentConnected { false };
    bool m_admitted { false };
    bool m_draining { false };
    // Deadline for an attempt to connect and subscribe; after admission, for the first beacon.
    base::Instant m_attemptDeadline;
    base::Instant m_chooseDue;
    base::Instant m_heartbeatDue;
    base::Instant m_evidenceDue;
    base::Instant m_digestDue;
    base::Instant m_started;

    wire::Beacon m_lastBeacon; // last heartbeat of the leader
    base::Instant m_beaconAt; // when it was received
    base::Instant m_behindSince; // since when m_state is older than the leader's version; unset when it is not
    std::shared_ptr<const nodes::CrashList> m_crashes; // as the calls event loop knows them
    wire::Report m_pendingReport; // next report to the parent
    callers::UsageBatch m_usage; // of this node and its subtree, for the parent
    base::Instant m_usageDue;
    std::shared_ptr<const std::vector<wire::AccountRatio>> m_accountRatios; // null: none
    nodes::FreshnessProof m_freshness; // of m_state
    base::Instant m_freshnessDue;
    bool m_holdsLease { false }; // as last logged
    bool m_viewDirty { true }; // a new snapshot has to be published

    bool m_serving { false };
    // The floor is the lowest version at which this node may serve: the one that it may have run before a restart.
    bool m_versionFloorKnown { false };
    int64_t m_versionFloor { 0 };
    int m_digestAnswers { 0 };
};

} // namespace pomelowind::node
