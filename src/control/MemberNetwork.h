// The network duty of a control host: links to other control hosts and from nodes.
#pragma once

#include "pomelowind/base/Duty.h"
#include "pomelowind/base/Mailbox.h"
#include "pomelowind/control/ControlSettings.h"
#include "pomelowind/links/LinkDialer.h"
#include "pomelowind/links/LinkServer.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace pomelowind::control {

// Something that happened on a link.
struct NetworkEvent {
    enum class Kind { MemberFrame, NodeFrame, MemberConnected, NodeDisconnected };
    Kind kind;
    std::string peer;
    links::Kind frame { links::FrameKind::HELLO };
    std::string payload;
};

// A frame to send.
struct NetworkSend {
    bool toMember;
    std::string peer;
    links::Kind frame;
    std::string payload;
};

// Thread safety: send() from any thread; the rest is confined to the network duty.
class MemberNetwork final : public links::LinkListener {
public:
    using Sink = std::function<bool(NetworkEvent)>;

    // Binds the mesh address. `sink` takes events and returns false when it is full.
    MemberNetwork(const ControlSettings& settings, Sink sink);
    ~MemberNetwork() override;
    void start();
    void stop();
    // Queues a frame; returns false when the ring is full. Frames to an unconnected peer are dropped.
    bool send(NetworkSend send);
    // Connects to the control host whose id is its mesh address, unless that is done already.
    void connectMember(const std::string& id);
    const links::Traffic& traffic() const { return m_traffic; }

    void linkReady(const std::shared_ptr<links::Link>& link) override;
    void linkFrame(const std::shared_ptr<links::Link>& link, links::Kind kind, std::string_view payload) override;
    void linkClosed(const std::shared_ptr<links::Link>& link, const std::string& reason) override;

private:
    void transmit(NetworkSend send);
    void dialMember(const std::string& id, const base::Address& address);

    const ControlSettings& m_settings;
    Sink m_sink;
    links::Identity m_identity;
    links::Traffic m_traffic;
    base::Duty m_duty;
    base::Mailbox<NetworkSend> m_outbox;
    std::unique_ptr<links::LinkServer> m_server;
    std::map<std::string, std::shared_ptr<links::LinkDialer>> m_members;
    std::map<std::string, std::shared_ptr<links::Link>> m_nodes;
};

} // namespace pomelowind::control
