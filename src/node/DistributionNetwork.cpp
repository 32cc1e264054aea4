#include "DistributionNetwork.h"

#include "pomelowind/base/Log.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace pomelowind::node {

using links::FrameKind;

namespace {

    constexpr char NODE_ROLE[] = "node";
    constexpr char DIGEST_ROLE[] = "digest";
    constexpr auto DIGEST_TIMEOUT = base::Millis(2000);
    constexpr size_t MAX_DIGEST_EXCHANGES = 4;
    // Beacons show that the parent can be heard; only answered pings show that it hears this node. A silent link is
    // closed after at most 3 s, the shortest contact window.
    constexpr auto PARENT_PING_PERIOD = base::Millis(1000);
    constexpr int MAX_UNANSWERED_PINGS = 2;

}

DistributionNetwork::DistributionNetwork(boost::asio::io_context& io, const NodeSettings& settings,
    const base::Clock& clock, PublishView publishView, PublishTargets publishTargets)
    : m_io(io)
    , m_clock(clock)
    , m_identity { settings.mesh, NODE_ROLE, settings.id, settings.meshKey }
    , m_digestIdentity { settings.mesh, DIGEST_ROLE, settings.id, settings.meshKey }
    , m_publishView(std::move(publishView))
    , m_publishTargets(std::move(publishTargets))
    , m_server(std::make_unique<links::LinkServer>(io, settings.meshAddress, m_identity, *this, m_traffic))
    , m_parentSilence(MAX_UNANSWERED_PINGS)
{
}

bool DistributionNetwork::isParent(const std::shared_ptr<links::Link>& link) const
{
    return m_parentDialer && m_parentDialer->link() == link;
}

void DistributionNetwork::connectParent(std::optional<nodes::Parent> parent)
{
    auto old = std::move(m_parentDialer);
    m_parentDialer = nullptr;
    if (old)
        old->stop();
    if (!parent)
        return;
    m_parentId = parent->id;
    m_parentDialer = std::make_shared<links::LinkDialer>(m_io, parent->address, m_identity, *this, m_traffic);
    m_parentDialer->start();
}

void DistributionNetwork::sendParent(links::Kind kind, std::string payload)
{
    if (!m_parentDialer)
        return;
    if (auto link = m_parentDialer->link())
        link->send(kind, payload);
}

void DistributionNetwork::sendChild(const std::string& child, links::Kind kind, std::string payload)
{
    auto it = m_children.find(child);
    if (it == m_children.end())
        return;
    auto link = it->second;
    if (!link->send(kind, payload))
        link->close("the child does not read its messages");
}

void DistributionNetwork::exchangeDigest(const base::Address& peer, std::string payload)
{
    if (m_digestExchanges.size() >= MAX_DIGEST_EXCHANGES)
        return;
    auto dialer = std::make_shared<links::LinkDialer>(m_io, peer, m_digestIdentity, *this, m_traffic);
    m_digestExchanges.push_back({ dialer, std::move(payload), m_clock.now() + DIGEST_TIMEOUT });
    dialer->start();
}

void DistributionNetwork::pingParent(base::Instant now)
{
    if (!m_parentDialer || now < m_parentPingDue)
        return;
    m_parentPingDue = now + PARENT_PING_PERIOD;
    auto link = m_parentDialer->link();
    if (!link)
        return m_parentSilence.onReceived();
    if (!m_parentSilence.onPeriodEnded())
        return void(link->send(FrameKind::PING, {}));
    base::logWarn("parent.silent", { { "parent", m_parentId } });
    m_parentSilence.onReceived();
    link->close("the parent has answered no ping");
}

void DistributionNetwork::tick(base::Instant now)
{
    pingParent(now);
    for (auto it = m_digestExchanges.begin(); it != m_digestExchanges.end();) {
        if (now < it->deadline && it->dialer->consecutiveFailures() == 0) {
            ++it;
            continue;
        }
        it->dialer->stop();
        it = m_digestExchanges.erase(it);
    }
    // Gives up a parent at the first failed connection attempt rather than after the timeout.
    if (m_parentDialer && m_parentDialer->consecutiveFailures() > 0)
        m_core->parentClosed(m_parentId, now);
}

void DistributionNetwork::close()
{
    connectParent(std::nullopt);
    for (auto& it : m_digestExchanges)
        it.dialer->stop();
    m_server->close();
}

void DistributionNetwork::linkReady(const std::shared_ptr<links::Link>& link)
{
    if (isParent(link)) {
        m_parentSilence.onReceived();
        return m_core->parentReady(m_parentId, m_clock.now());
    }
    for (auto& it : m_digestExchanges) {
        if (it.dialer->link() == link) {
            link->send(FrameKind::DIGEST, it.payload);
            return;
        }
    }
    if (link->peerRole() != NODE_ROLE)
        return;
    auto& current = m_children[link->peerId()];
    auto old = std::move(current);
    current = link;
    if (old)
        old->close("replaced by a newer link of the same node");
}

void DistributionNetwork::linkFrameReceived(
    const std::shared_ptr<links::Link>& link, links::Kind kind, std::string_view payload)
{
    if (kind == FrameKind::PING)
        return void(link->send(FrameKind::PONG, {}));
    if (kind == FrameKind::PONG)
        return isParent(link) ? m_parentSilence.onReceived() : void();
    auto now = m_clock.now();
    if (isParent(link))
        return m_core->parentFrame(kind, payload, now);
    if (kind == FrameKind::DIGEST_ANSWER) {
        finishDigest(link);
        return m_core->digestAnswered(payload, now);
    }
    if (link->peerRole() == DIGEST_ROLE && kind == FrameKind::DIGEST) {
        link->send(FrameKind::DIGEST_ANSWER, m_core->answerDigest(payload, m_clock.now()));
        return;
    }
    auto it = m_children.find(link->peerId());
    if (it != m_children.end() && it->second == link)
        m_core->childFrame(link->peerId(), kind, payload, now);
}

void DistributionNetwork::finishDigest(const std::shared_ptr<links::Link>& link)
{
    auto it = std::find_if(m_digestExchanges.begin(), m_digestExchanges.end(),
        [&](const DigestExchange& d) { return d.dialer->link() == link; });
    if (it == m_digestExchanges.end())
        return;
    auto dialer = it->dialer;
    m_digestExchanges.erase(it);
    // Stops the dialer only after this frame has been handled.
    boost::asio::post(m_io, [dialer] { dialer->stop(); });
}

void DistributionNetwork::linkClosed(const std::shared_ptr<links::Link>& link, const std::string& reason)
{
    base::logDebug("link.closed", { { "peer", link->peerId() }, { "reason", reason } });
    if (isParent(link))
        return m_core->parentClosed(m_parentId, m_clock.now());
    auto it = m_children.find(link->peerId());
    if (it == m_children.end() || it->second != link)
        return;
    m_children.erase(it);
    m_core->childDisconnected(link->peerId(), m_clock.now());
}

} // namespace pomelowind::node
