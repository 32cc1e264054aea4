// The decisions of a node about configuration and presence: who feeds it, what it applies, what it passes on to its
// children and reports upwards. It does no I/O: inputs are method calls with the time, outputs go to
// DistributionOutputs.
//
// The flow of a version: DELTA from the parent -> apply whole or not at all -> publish to the calls duty -> feed
// children -> acknowledge upwards.
#pragma once

#include "pomelowind/links/Link.h"
#include "pomelowind/node/MeshView.h"
#include "pomelowind/node/NodeSettings.h"
#include "pomelowind/node/TargetRegistry.h"
#include "pomelowind/nodes/Acks.h"
#include "pomelowind/nodes/Directory.h"
#include "pomelowind/nodes/Feeder.h"
#include "pomelowind/nodes/ParentChooser.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace pomelowind::node {

// Implemented by the threads; called on the distribution duty.
class DistributionOutputs {
public:
    virtual ~DistributionOutputs() = default;
    // Replaces the parent link; nothing means no parent.
    virtual void connectParent(std::optional<nodes::Parent> parent) = 0;
    virtual void sendParent(links::Kind kind, std::string payload) = 0;
    virtual void sendChild(const std::string& child, links::Kind kind, std::string payload) = 0;
    // Opens a short link to a peer, sends the digest, and delivers the answer to digestAnswered().
    virtual void exchangeDigest(const base::Address& peer, std::string payload) = 0;
    virtual void publish(MeshViewPtr view) = 0;
    // The targets of this host, for the gate.
    virtual void publishLocalTargets(std::vector<Announcement> targets) = 0;
};

// Thread safety: confined to the distribution duty.
class DistributionCore {
public:
    DistributionCore(
        const NodeSettings& settings, DistributionOutputs& outputs, base::Instant now, int64_t wallMs, uint64_t seed);

    // ---- inputs ----
    void tick(base::Instant now);
    void parentReady(const std::string& parent, base::Instant now);
    void parentClosed(const std::string& parent, base::Instant now);
    void parentFrame(links::Kind kind, std::string_view payload, base::Instant now);
    void childFrame(const std::string& child, links::Kind kind, std::string_view payload, base::Instant now);
    void childDisconnected(const std::string& child, base::Instant now);
    void digestAnswered(std::string_view payload, base::Instant now);
    // The encoded answer to a peer's encoded digest. Throws UserError(Protocol).
    std::string answerDigest(std::string_view payload) const;
    // Throws UserError(InvalidInput) when the announcement names no target of this host.
    void announced(const Announcement& announcement, base::Instant now);
    void departed(const std::string& target, base::Instant now);
    // Mesh addresses of control hosts that may feed this node, besides the configured ones.
    void learnControlHosts(const std::vector<std::string>& hosts);
    // Evidence and alarms of this node's calls.
    void observed(const wire::Report& report);
    // The node is about to stop: its targets take no new work from elsewhere.
    void leave(base::Instant now);
    // The node stops now; parent and children hear of it.
    void gone(base::Instant now);

    // ---- views ----
    const config::ConfigState& state() const { return *m_state; }
    bool isServing() const { return m_serving; }
    const nodes::Directory& directory() const { return m_directory; }
    std::string parentId() const { return m_parent ? m_parent->id : std::string(); }
    bool isAdmitted() const { return m_admitted; }
    size_t childCount() const { return m_feeder.connected().size(); }
    const std::string& rejection() const { return m_rejection; }

private:
    struct LocalTarget {
        Announcement announcement;
        base::Instant leaseEnd;
        bool departed { false }; // has said that it leaves for good; later announcements are late ones
    };

    void chooseParent(base::Instant now);
    void retireOthersAt(const Announcement& announcement, base::Instant now);
    void subscribe(int64_t base);
    void subscribeAnswer(const wire::SubscribeAnswer& answer, base::Instant now);
    void takeDelta(const wire::Delta& delta, base::Instant now);
    void takeSpread(const wire::Spread& spread, base::Instant now);
    void takeBeacon(const wire::Beacon& beacon, base::Instant now);
    void takeChildSubscribe(const std::string& child, const wire::Subscribe& request, base::Instant now);
    void takeReport(const wire::Report& report, base::Instant now);
    void spreadToChildren(const wire::Spread& spread, const std::string& except);
    void mergePresence(const std::vector<wire::NodeInfo>& nodes, const std::vector<wire::Presence>& targets,
        base::Instant now, bool fromBelow);
    void feedChildren();
    void acknowledge(base::Instant now);
    void reportTarget(const LocalTarget& target, base::Instant now);
    void reportSubtree(base::Instant now);
    void flushReport();
    void expireTargets(base::Instant now);
    void exchangeDigest(base::Instant now);
    void updateServing(base::Instant now);
    void publish();
    bool beaconIsFresh(base::Instant now) const;
    wire::NodeInfo selfInfo(bool isGone);

    const NodeSettings& m_settings;
    DistributionOutputs& m_outputs;
    base::Random m_random;
    nodes::ParentChooser m_chooser;
    nodes::Feeder m_feeder;
    nodes::Directory m_directory;
    nodes::Acks m_acks; // of this node's subtree
    std::shared_ptr<const config::ConfigState> m_state;
    std::shared_ptr<const config::ConfigState> m_active; // the closure that calls use
    std::shared_ptr<const RouteTable> m_routes;
    std::string m_rejection;
    std::map<std::string, LocalTarget> m_localTargets;

    int64_t m_incarnation;
    int64_t m_sequence { 0 };
    int64_t m_presenceSequence { 0 };
    std::optional<nodes::Parent> m_parent;
    bool m_linked { false };
    bool m_admitted { false };
    bool m_leaving { false };
    base::Instant m_attemptDue; // when an attempt that got no answer is given up
    base::Instant m_chooseDue;
    base::Instant m_heartbeatDue;
    base::Instant m_evidenceDue;
    base::Instant m_digestDue;
    base::Instant m_started;

    wire::Beacon m_beacon;
    base::Instant m_beaconAt;
    base::Instant m_behindSince;
    wire::Report m_pending;
    bool m_viewDirty { true };

    bool m_serving { false };
    bool m_floorKnown { false };
    int64_t m_floor { 0 };
    int m_digestAnswers { 0 };
};

} // namespace pomelowind::node
