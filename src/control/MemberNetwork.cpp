#include "MemberNetwork.h"

#include "pomelowind/base/Log.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <future>
#include <utility>

namespace pomelowind::control {

namespace {

    constexpr size_t OUTBOX_CAPACITY = 16384;
    constexpr char CONTROL_ROLE[] = "control";
    constexpr char NODE_ROLE[] = "node";
    // A silent link to another control host is closed after at most 2 s, which is below the shortest contact window (3
    // s) within which a deployment expects the group to work again.
    constexpr auto PING_PERIOD = base::Millis(500);
    constexpr int MAX_UNANSWERED_PINGS = 3;

}

MemberNetwork::MemberNetwork(const ControlSettings& settings, EventSink eventSink)
    : m_settings(settings)
    , m_eventSink(std::move(eventSink))
    , m_identity { settings.mesh, CONTROL_ROLE, settings.id, settings.meshKey }
    , m_thread("network")
    , m_outbox(m_thread.context(), OUTBOX_CAPACITY, [this](OutgoingFrame&& frame) { transmit(std::move(frame)); })
{
    m_server
        = std::make_unique<links::LinkServer>(m_thread.context(), settings.meshAddress, m_identity, *this, m_traffic);
    for (const auto& it : settings.members) {
        if (it.id == settings.id)
            continue;
        dialMember(it.id, it.address);
    }
}

void MemberNetwork::dialMember(const std::string& id, const base::Address& address)
{
    auto& dialer = m_memberDialers[id];
    if (dialer)
        return;
    dialer = std::make_shared<links::LinkDialer>(m_thread.context(), address, m_identity, *this, m_traffic);
    dialer->start();
}

void MemberNetwork::connectMember(const std::string& id)
{
    boost::asio::post(m_thread.context(), [this, id] {
        try {
            dialMember(id, base::parseAddress(id));
        } catch (const base::UserError& e) {
            base::logWarn("member.bad_address", { { "member", id }, { "error", e.what() } });
        }
    });
}

MemberNetwork::~MemberNetwork() { stop(); }

void MemberNetwork::start(base::TimerService& timers)
{
    m_pingTimer = timers.subscribe(m_thread.context(), PING_PERIOD, [this] { pingMembers(); });
    m_thread.start();
    m_started = true;
}

void MemberNetwork::stop()
{
    // Peers notice the end of this host by the end of its links, and choose another one.
    if (std::exchange(m_started, false)) {
        std::promise<void> closed;
        boost::asio::post(m_thread.context(), [this, &closed] {
            m_pingTimer.reset();
            m_server->close();
            for (auto& [id, dialer] : m_memberDialers)
                dialer->stop();
            closed.set_value();
        });
        closed.get_future().wait();
    }
    m_thread.stop();
}

// Frames travel only on links that the sending host dialed, so nothing but the answers to pings shows whether the other
// host receives them.
void MemberNetwork::pingMembers()
{
    for (auto& [id, dialer] : m_memberDialers) {
        auto link = dialer->link();
        if (!link) {
            m_silence.erase(id);
            continue;
        }
        auto& detector = m_silence.try_emplace(id, MAX_UNANSWERED_PINGS).first->second;
        if (!detector.onPeriodEnded()) {
            link->send(links::FrameKind::PING, {});
            continue;
        }
        base::logWarn("member.silent", { { "member", id } });
        m_silence.erase(id);
        link->close("the control host has answered no ping");
    }
}

bool MemberNetwork::send(OutgoingFrame frame) { return m_outbox.tryPut(std::move(frame)); }

void MemberNetwork::transmit(OutgoingFrame frame)
{
    if (frame.toMember) {
        auto it = m_memberDialers.find(frame.peer);
        if (it == m_memberDialers.end())
            return;
        if (auto link = it->second->link())
            link->send(frame.frameKind, frame.payload);
        return;
    }
    auto it = m_nodeLinks.find(frame.peer);
    if (it != m_nodeLinks.end() && !it->second->send(frame.frameKind, frame.payload))
        it->second->close("the node reads too slowly: its send queue is full");
}

void MemberNetwork::linkReady(const std::shared_ptr<links::Link>& link)
{
    if (link->peerRole() == NODE_ROLE) {
        auto& latest = m_nodeLinks[link->peerId()];
        auto old = std::move(latest);
        latest = link;
        if (old)
            old->close("replaced by a newer link of the same node");
        return;
    }
    // The link may have been dialed by the other control host. Frames are sent only on links that this host dialed, so
    // it dials too.
    auto known = m_memberDialers.find(link->peerId());
    if (known != m_memberDialers.end())
        known->second->dialNow();
    else if (m_settings.usesDiscovery && link->peerId() != m_settings.id)
        connectMember(link->peerId());
    bool dialed = std::any_of(
        m_memberDialers.begin(), m_memberDialers.end(), [&](const auto& it) { return it.second->link() == link; });
    if (dialed) {
        base::logInfo("member.connected", { { "member", link->peerId() } });
        m_eventSink({ NetworkEvent::Kind::MemberConnected, link->peerId(), {}, {} });
    }
}

void MemberNetwork::linkFrameReceived(
    const std::shared_ptr<links::Link>& link, links::Kind kind, std::string_view payload)
{
    if (kind == links::FrameKind::PING)
        return void(link->send(links::FrameKind::PONG, {}));
    if (kind == links::FrameKind::PONG)
        return onPong(link);
    bool isNode = link->peerRole() == NODE_ROLE;
    auto event = isNode ? NetworkEvent::Kind::NodeFrame : NetworkEvent::Kind::MemberFrame;
    // Replies to a node use its latest link only, so frames from an older link are ignored.
    if (isNode && m_nodeLinks[link->peerId()] != link)
        return;
    // When the queue is full, the frame is dropped. The protocols above tolerate lost frames and repeat them.
    if (!m_eventSink({ event, link->peerId(), kind, std::string(payload) }) && isNode)
        link->close("the event queue of this control host is full");
}

void MemberNetwork::onPong(const std::shared_ptr<links::Link>& link)
{
    for (auto& [id, detector] : m_silence) {
        if (m_memberDialers.at(id)->link() == link)
            detector.onReceived();
    }
}

void MemberNetwork::linkClosed(const std::shared_ptr<links::Link>& link, const std::string& reason)
{
    base::logInfo("link.closed", { { "peer", link->peerId() }, { "reason", reason } });
    auto it = m_nodeLinks.find(link->peerId());
    if (link->peerRole() != NODE_ROLE || it == m_nodeLinks.end() || it->second != link)
        return;
    m_nodeLinks.erase(it);
    m_eventSink({ NetworkEvent::Kind::NodeDisconnected, link->peerId(), {}, {} });
}

} // namespace pomelowind::control
