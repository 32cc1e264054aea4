// The network thread of a control host. It dials the other control hosts, accepts links from control hosts and nodes,
// and exchanges their frames with the control core through bounded queues.
#pragma once

#include "pomelowind/base/EventLoopThread.h"
#include "pomelowind/base/Mailbox.h"
#include "pomelowind/base/TimerService.h"
#include "pomelowind/control/ControlSettings.h"
#include "pomelowind/links/LinkDialer.h"
#include "pomelowind/links/LinkServer.h"
#include "pomelowind/links/SilenceDetector.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace pomelowind::control {

// An event on a link, for the control core.
struct NetworkEvent {
    enum class Kind { MemberFrame, NodeFrame, MemberConnected, NodeDisconnected };
    Kind kind;
    std::string peer; // id of the control host or node
    links::Kind frameKind { links::FrameKind::HELLO }; // used by MemberFrame and NodeFrame, like `payload`
    std::string payload;
};

// A frame to send to a control host or, when `toMember` is false, to a node.
struct OutgoingFrame {
    bool toMember;
    std::string peer;
    links::Kind frameKind;
    std::string payload;
};

// Owns the links of a control host.
// Thread safety: start and stop from one thread; send() and connectMember() from any; the rest is confined to the
// network thread.
class MemberNetwork final : public links::LinkListener {
public:
    using EventSink = std::function<bool(NetworkEvent)>;

    // Binds the mesh address. `eventSink` receives events on the network thread; it returns false when its queue is
    // full.
    MemberNetwork(const ControlSettings& settings, EventSink eventSink);
    ~MemberNetwork() override;
    // Starts the network thread. Precondition: `timers` outlives the time until stop().
    void start(base::TimerService& timers);
    // Stops accepting, closes all links and ends the network thread.
    void stop();
    // Queues a frame; returns false when the bounded queue is full. Frames to an unconnected peer are dropped.
    bool send(OutgoingFrame frame);
    // Dials the control host whose mesh address is `id`, unless it is dialed already. An invalid address is logged.
    void connectMember(const std::string& id);
    const links::TrafficCounters& traffic() const { return m_traffic; }

    void linkReady(const std::shared_ptr<links::Link>& link) override;
    void linkFrameReceived(
        const std::shared_ptr<links::Link>& link, links::Kind kind, std::string_view payload) override;
    void linkClosed(const std::shared_ptr<links::Link>& link, const std::string& reason) override;

private:
    void transmit(OutgoingFrame frame);
    void pingMembers();
    void onPong(const std::shared_ptr<links::Link>& link);
    void dialMember(const std::string& id, const base::Address& address);

    const ControlSettings& m_settings;
    EventSink m_eventSink;
    links::Identity m_identity;
    links::TrafficCounters m_traffic;
    base::EventLoopThread m_thread;
    base::Mailbox<OutgoingFrame> m_outbox;
    std::unique_ptr<links::LinkServer> m_server;
    std::map<std::string, std::shared_ptr<links::LinkDialer>> m_memberDialers;
    std::map<std::string, std::shared_ptr<links::Link>> m_nodeLinks;
    // Of the ready links that this host dialed, by the id of the control host.
    std::map<std::string, links::SilenceDetector> m_silence;
    std::unique_ptr<base::TimerSubscription> m_pingTimer;
    bool m_started { false }; // used by start() and stop() only
};

} // namespace pomelowind::control
