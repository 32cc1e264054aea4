// A link: an authenticated TCP connection between two processes of one mesh, which carries typed frames in order. Nodes
// and control hosts exchange configuration, calls and consensus messages over links. Each side proves in a handshake
// that it holds the mesh's key before any other frame is accepted.
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

// Identity of this process in the handshake. `meshKey` is the shared key of the mesh; it is never sent.
struct Identity {
    std::string mesh;
    std::string role;
    std::string id;
    std::string meshKey;
    bool operator==(const Identity&) const = default;
};

// Counts the bytes received and sent over a group of links. Thread safety: any thread.
struct TrafficCounters {
    std::atomic<uint64_t> received { 0 };
    std::atomic<uint64_t> sent { 0 };
};

class Link;

// Receives the events of links. All methods are called on the link's event loop thread.
class LinkListener {
public:
    virtual ~LinkListener() = default;
    // The peer has proved that it holds the mesh's key. Frames may be sent from now on.
    virtual void linkReady(const std::shared_ptr<Link>& link) = 0;
    // A complete frame has arrived. `payload` is valid during the call only. Throwing a UserError closes the link.
    virtual void linkFrameReceived(const std::shared_ptr<Link>& link, Kind kind, std::string_view payload) = 0;
    // The send queue is empty: all frames have been written to the socket. A listener with
    // much data to send, such as call bodies, sends it in parts on this event, so that other frames are not delayed.
    virtual void linkDrained(const std::shared_ptr<Link>& link) { }
    // The link has closed. Called once, and only if linkReady() was called.
    virtual void linkClosed(const std::shared_ptr<Link>& link, const std::string& reason) = 0;
};

// One end of a connection. Thread safety: confined to the event loop thread that owns the socket.
class Link : public std::enable_shared_from_this<Link> {
public:
    using ClosedCallback = std::function<void(bool wasReady)>;

    // Precondition: `socket` is connected; `localIdentity`, `listener` and `traffic` outlive the link.
    Link(boost::asio::ip::tcp::socket socket, const Identity& localIdentity, LinkListener& listener,
        TrafficCounters& traffic);

    // Starts the handshake. `onClosed` is called once when the link has closed, whether or not the handshake had
    // succeeded.
    void start(ClosedCallback onClosed);
    // Queues a frame. Returns false when the link is not ready or closed, or when its send queue is full.
    bool send(Kind kind, std::string_view payload);
    // Encodes a message and queues it like send().
    template <class T> bool sendMessage(Kind kind, const T& message) { return send(kind, base::encode(message)); }
    // Closes the link and passes `reason` to the listener. Does nothing when the link is closed already.
    void close(const std::string& reason);
    // Return the identity of the peer. Precondition: linkReady() was called.
    const std::string& peerId() const { return m_peerId; }
    const std::string& peerRole() const { return m_peerRole; }
    bool isReady() const { return m_ready; }
    // Returns the bytes of queued frames that have not been written to the socket, headers included.
    size_t queuedBytes() const { return m_queuedBytes; }

private:
    void read();
    size_t parseFrames();
    void handleFrame(Kind kind, std::string_view payload);
    void handleHello(std::string_view payload);
    void handleProof(std::string_view payload);
    std::string computeProof(
        const std::string& verifierNonce, const std::string& proverNonce, const std::string& proverId) const;
    void queueFrame(Kind kind, std::string_view payload);
    void write();
    void becomeReady();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_handshakeTimer;
    const Identity& m_localIdentity;
    LinkListener& m_listener;
    TrafficCounters& m_traffic;
    ClosedCallback m_onClosed;
    std::string m_nonce;
    std::string m_peerNonce;
    std::string m_peerId;
    std::string m_peerRole;
    bool m_ready { false };
    bool m_closed { false };
    bool m_writing { false };
    std::string m_inputBuffer;
    size_t m_inputSize { 0 };
    std::string m_outputBuffer;
    std::string m_writeBuffer;
    size_t m_queuedBytes { 0 };
};

} // namespace pomelowind::links
