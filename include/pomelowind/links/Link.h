// An authenticated connection between two processes of one mesh. It carries typed frames in order.
// Both sides prove that they hold the mesh's key before any other frame is taken.
#pragma once

#include "pomelowind/base/Settings.h"
#include "pomelowind/base/Time.h"
#include "pomelowind/base/Wire.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

namespace pomelowind::links {

using wire::FrameKind;
using Kind = FrameKind::type;

// Who this process is towards its peers.
struct Identity {
    std::string mesh;
    std::string role;
    std::string id;
    std::string key;
    bool operator==(const Identity&) const = default;
};

// Bytes that passed over a group of links. Thread safety: any thread.
struct Traffic {
    std::atomic<uint64_t> received { 0 };
    std::atomic<uint64_t> sent { 0 };
};

class Link;

// Receives what happens on links. All methods are called on the link's duty.
class LinkListener {
public:
    virtual ~LinkListener() = default;
    // Both sides have proved their identity; frames may be sent.
    virtual void linkReady(const std::shared_ptr<Link>& link) = 0;
    // A whole frame has arrived. A thrown UserError closes the link.
    virtual void linkFrame(const std::shared_ptr<Link>& link, Kind kind, std::string_view payload) = 0;
    // All queued frames have been written; more can be sent without delaying others.
    virtual void linkDrained(const std::shared_ptr<Link>& link) { }
    // The link is closed; called once, and only after linkReady.
    virtual void linkClosed(const std::shared_ptr<Link>& link, const std::string& reason) = 0;
};

// One connection. Thread safety: confined to the duty whose context owns the socket.
class Link : public std::enable_shared_from_this<Link> {
public:
    using Ended = std::function<void(bool wasReady)>;

    Link(boost::asio::ip::tcp::socket socket, const Identity& self, LinkListener& listener, Traffic& traffic);

    // Begins the handshake. `ended` is called once when the link has closed, ready or not.
    void start(Ended ended);
    // Queues a frame. Returns false when the link is closed or its send queue is full.
    bool send(Kind kind, std::string_view payload);
    // Encodes and queues a message.
    template <class T> bool sendMessage(Kind kind, const T& message) { return send(kind, base::encode(message)); }
    // Closes the link; `reason` reaches the listener.
    void close(const std::string& reason);
    // Identity of the peer. Precondition: linkReady was called.
    const std::string& peerId() const { return m_peerId; }
    const std::string& peerRole() const { return m_peerRole; }
    bool isReady() const { return m_ready; }
    size_t queuedBytes() const { return m_queuedBytes; }

private:
    void read();
    size_t parseFrames();
    void takeFrame(Kind kind, std::string_view payload);
    void takeHello(std::string_view payload);
    void takeProof(std::string_view payload);
    std::string proofFor(
        const std::string& verifierNonce, const std::string& proverNonce, const std::string& proverId) const;
    void queueFrame(Kind kind, std::string_view payload);
    void write();
    void becomeReady();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_handshakeTimer;
    const Identity& m_self;
    LinkListener& m_listener;
    Traffic& m_traffic;
    Ended m_ended;
    std::string m_nonce;
    std::string m_peerNonce;
    std::string m_peerId;
    std::string m_peerRole;
    bool m_ready { false };
    bool m_closed { false };
    bool m_writing { false };
    std::string m_input;
    size_t m_inputSize { 0 };
    std::string m_pending;
    std::string m_inFlight;
    size_t m_queuedBytes { 0 };
};

} // namespace pomelowind::links
