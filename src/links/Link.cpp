#include "pomelowind/links/Link.h"

#include "pomelowind/base/Hash.h"
#include "pomelowind/base/Isolation.h"
#include "pomelowind/base/Listener.h"
#include "pomelowind/base/Log.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <utility>

namespace pomelowind::links {

namespace {

    constexpr size_t HEADER_BYTES = 5;
    constexpr size_t NONCE_BYTES = 16;
    constexpr size_t MAX_HANDSHAKE_BYTES = 4096;
    constexpr size_t READ_CHUNK_BYTES = 16 * 1024;
    constexpr size_t MAX_QUEUED_BYTES = 48 * 1024 * 1024;
    constexpr size_t MAX_RETAINED_BUFFER_BYTES = 64 * 1024;
    constexpr auto HANDSHAKE_TIMEOUT = base::Millis(3000);

    // Long enough for two of the longest round trips between data centres with one lost packet, and well below the time
    // in which a configuration has to be in force everywhere.
    constexpr auto DEAD_PEER_TIMEOUT = base::Millis(1500);

    uint32_t readLength(const char* bytes)
    {
        uint32_t n = 0;
        for (int i = 0; i < 4; ++i)
            n = (n << 8) | static_cast<unsigned char>(bytes[i]);
        return n;
    }

    void appendLength(std::string& out, uint32_t n)
    {
        for (int shift = 24; shift >= 0; shift -= 8)
            out += static_cast<char>(n >> shift);
    }

    // Clears the buffer, and releases its memory when a large frame has made it grow.
    void clearAndShrink(std::string& buf)
    {
        if (buf.capacity() > MAX_RETAINED_BUFFER_BYTES)
            std::string().swap(buf);
        else
            buf.clear();
    }

}

Link::Link(boost::asio::ip::tcp::socket socket, const Identity& localIdentity, LinkListener& listener,
    TrafficCounters& traffic)
    : m_socket(std::move(socket))
    , m_handshakeTimer(m_socket.get_executor())
    , m_localIdentity(localIdentity)
    , m_listener(listener)
    , m_traffic(traffic)
    , m_nonce(base::randomBytes(NONCE_BYTES))
{
}

void Link::start(ClosedCallback onClosed)
{
    m_onClosed = std::move(onClosed);
    boost::system::error_code ec;
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
    base::enableDeadPeerDetection(m_socket, DEAD_PEER_TIMEOUT);
    m_handshakeTimer.expires_after(HANDSHAKE_TIMEOUT);
    m_handshakeTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error && !self->m_ready)
            self->close("handshake timed out");
    });
    wire::Hello hello;
    hello.mesh = m_localIdentity.mesh;
    hello.role = m_localIdentity.role;
    hello.id = m_localIdentity.id;
    hello.nonce = m_nonce;
    queueFrame(FrameKind::HELLO, base::encode(hello));
    read();
}

bool Link::send(Kind kind, std::string_view payload)
{
    if (m_closed || !m_ready || m_queuedBytes + payload.size() > MAX_QUEUED_BYTES)
        return false;
    queueFrame(kind, payload);
    return true;
}

void Link::queueFrame(Kind kind, std::string_view payload)
{
    appendLength(m_outputBuffer, static_cast<uint32_t>(payload.size()));
    m_outputBuffer += static_cast<char>(kind);
    m_outputBuffer.append(payload);
    m_queuedBytes += payload.size() + HEADER_BYTES;
    if (!m_writing)
        write();
}

void Link::write()
{
    m_writing = true;
    m_writeBuffer.swap(m_outputBuffer);
    boost::asio::async_write(m_socket, boost::asio::buffer(m_writeBuffer),
        [self = shared_from_this()](boost::system::error_code ec, size_t n) {
            self->m_traffic.sent += n;
            self->m_queuedBytes -= self->m_writeBuffer.size();
            clearAndShrink(self->m_writeBuffer);
            self->m_writing = false;
            if (ec)
                return self->close(ec.message());
            if (self->m_outputBuffer.empty() && self->m_ready)
                self->m_listener.linkDrained(self);
            if (!self->m_outputBuffer.empty() && !self->m_writing)
                self->write();
        });
}

void Link::read()
{
    if (m_inputBuffer.size() < m_inputSize + READ_CHUNK_BYTES)
        m_inputBuffer.resize(m_inputSize + READ_CHUNK_BYTES);
    auto space = boost::asio::buffer(m_inputBuffer.data() + m_inputSize, m_inputBuffer.size() - m_inputSize);
    m_socket.async_read_some(space, [self = shared_from_this()](boost::system::error_code ec, size_t n) {
        if (ec)
            return self->close(ec.message());
        self->m_traffic.received += n;
        self->m_inputSize += n;
        size_t used = 0;
        bool handled = base::runIsolated("link.frame", [&] {
            try {
                used = self->parseFrames();
            } catch (const base::UserError& e) {
                base::logWarn("link.refused", { { "peer", self->m_peerId }, { "error", e.what() } });
                self->close(e.what());
            }
        });
        if (!handled)
            self->close("a frame could not be handled");
        if (self->m_closed)
            return;
        std::memmove(self->m_inputBuffer.data(), self->m_inputBuffer.data() + used, self->m_inputSize - used);
        self->m_inputSize -= used;
        if (!self->m_inputSize && self->m_inputBuffer.size() > MAX_RETAINED_BUFFER_BYTES)
            std::string().swap(self->m_inputBuffer);
        self->read();
    });
}

size_t Link::parseFrames()
{
    size_t offset = 0;
    while (!m_closed && m_inputSize - offset >= HEADER_BYTES) {
        size_t n = readLength(m_inputBuffer.data() + offset);
        size_t maxBytes = m_ready ? static_cast<size_t>(base::MAX_WIRE_BYTES) : MAX_HANDSHAKE_BYTES;
        if (n > maxBytes)
            throw base::UserError(base::ErrorKind::Protocol, "frame of " + std::to_string(n) + " bytes is too long",
                "check that the peer is a pomelowind process of the same release");
        if (m_inputSize - offset < HEADER_BYTES + n)
            break;
        auto kind = static_cast<Kind>(static_cast<unsigned char>(m_inputBuffer[offset + 4]));
        handleFrame(kind, { m_inputBuffer.data() + offset + HEADER_BYTES, n });
        offset += HEADER_BYTES + n;
    }
    return offset;
}

void Link::handleFrame(Kind kind, std::string_view payload)
{
    if (m_ready)
        return m_listener.linkFrameReceived(shared_from_this(), kind, payload);
    if (kind == FrameKind::HELLO && m_peerNonce.empty())
        return handleHello(payload);
    if (kind == FrameKind::PROOF && !m_peerNonce.empty())
        return handleProof(payload);
    throw base::UserError(base::ErrorKind::Protocol, "peer sent a frame before it was authenticated",
        "check that the peer is a pomelowind process of the same release");
}

void Link::handleHello(std::string_view payload)
{
    auto hello = base::decode<wire::Hello>(payload);
    if (hello.mesh != m_localIdentity.mesh)
        throw base::UserError(base::ErrorKind::Denied, "peer '" + hello.id + "' belongs to mesh '" + hello.mesh + "'",
            "set the same 'mesh' on both processes, or correct the address");
    if (hello.nonce.size() != NONCE_BYTES)
        throw base::UserError(
            base::ErrorKind::Protocol, "peer's nonce has a wrong size", "run the same release on both");
    m_peerNonce = hello.nonce;
    m_peerId = hello.id;
    m_peerRole = hello.role;
    wire::Proof proof;
    proof.mac = computeProof(m_peerNonce, m_nonce, m_localIdentity.role + "/" + m_localIdentity.id);
    queueFrame(FrameKind::PROOF, base::encode(proof));
}

void Link::handleProof(std::string_view payload)
{
    auto proof = base::decode<wire::Proof>(payload);
    if (!base::constantTimeEqual(proof.mac, computeProof(m_nonce, m_peerNonce, m_peerRole + "/" + m_peerId)))
        throw base::UserError(base::ErrorKind::Denied, "peer '" + m_peerId + "' does not hold the mesh's key",
            "set the same 'mesh_key' on both processes");
    becomeReady();
}

std::string Link::computeProof(
    const std::string& verifierNonce, const std::string& proverNonce, const std::string& proverId) const
{
    return base::hmacSha256(
        m_localIdentity.meshKey, verifierNonce + proverNonce + m_localIdentity.mesh + "/" + proverId);
}

void Link::becomeReady()
{
    m_ready = true;
    m_handshakeTimer.cancel();
    m_listener.linkReady(shared_from_this());
}

void Link::close(const std::string& reason)
{
    if (m_closed)
        return;
    m_closed = true;
    m_handshakeTimer.cancel();
    boost::system::error_code ec;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ec);
    m_socket.close(ec);
    auto self = shared_from_this();
    // Clear m_ready first: a listener that resends its frames from linkClosed() must not be given this link again.
    bool wasReady = std::exchange(m_ready, false);
    if (wasReady)
        m_listener.linkClosed(self, reason);
    if (auto onClosed = std::move(m_onClosed))
        onClosed(wasReady);
}

} // namespace pomelowind::links
