// Links of the distribution event loop: one to the parent, those from children, and short-lived ones for digests.
// Passes their events to DistributionCore and carries out its outputs.
#pragma once

#include "DistributionCore.h"
#include "pomelowind/links/LinkDialer.h"
#include "pomelowind/links/LinkServer.h"
#include "pomelowind/links/SilenceDetector.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pomelowind::node {

// Thread safety: confined to the distribution event loop.
class DistributionNetwork final : public DistributionOutputs, public links::LinkListener {
public:
    using PublishView = std::function<void(MeshViewPtr)>;
    using PublishTargets = std::function<void(std::vector<Announcement>)>;

    // Binds the mesh address.
    DistributionNetwork(boost::asio::io_context& io, const NodeSettings& settings, const base::Clock& clock,
        PublishView publishView, PublishTargets publishTargets);
    // Sets the receiver of events. Precondition: called once, before any event.
    void attach(DistributionCore& core) { m_core = &core; }
    // Ends digest exchanges that have timed out, pings the parent, and reports one that cannot be connected.
    void tick(base::Instant now);
    void close();
    const links::TrafficCounters& traffic() const { return m_traffic; }

    void connectParent(std::optional<nodes::Parent> parent) override;
    void sendParent(links::Kind kind, std::string payload) override;
    void sendChild(const std::string& child, links::Kind kind, std::string payload) override;
    void exchangeDigest(const base::Address& peer, std::string payload) override;
    void publish(MeshViewPtr view) override { m_publishView(std::move(view)); }
    void publishLocalTargets(std::vector<Announcement> targets) override { m_publishTargets(std::move(targets)); }

    void linkReady(const std::shared_ptr<links::Link>& link) override;
    void linkFrameReceived(
        const std::shared_ptr<links::Link>& link, links::Kind kind, std::string_view payload) override;
    void linkClosed(const std::shared_ptr<links::Link>& link, const std::string& reason) override;

private:
    // A digest exchange in progress.
    struct DigestExchange {
        std::shared_ptr<links::LinkDialer> dialer;
        std::string payload;
        base::Instant deadline;
    };

    void pingParent(base::Instant now);
    bool isParent(const std::shared_ptr<links::Link>& link) const;
    void finishDigest(const std::shared_ptr<links::Link>& link);

    boost::asio::io_context& m_io;
    const base::Clock& m_clock;
    links::Identity m_identity;
    links::Identity m_digestIdentity;
    PublishView m_publishView;
    PublishTargets m_publishTargets;
    DistributionCore* m_core { nullptr };
    links::TrafficCounters m_traffic;
    std::unique_ptr<links::LinkServer> m_server;
    std::shared_ptr<links::LinkDialer> m_parentDialer;
    std::string m_parentId;
    links::SilenceDetector m_parentSilence;
    base::Instant m_parentPingDue;
    std::map<std::string, std::shared_ptr<links::Link>> m_children;
    std::vector<DigestExchange> m_digestExchanges;
};

} // namespace pomelowind::node
