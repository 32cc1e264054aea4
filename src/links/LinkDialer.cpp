#include "pomelowind/links/LinkDialer.h"

namespace pomelowind::links {

namespace {

    constexpr auto INITIAL_BACKOFF = base::Millis(50);
    constexpr auto MAX_BACKOFF = base::Millis(600);
    constexpr auto CONNECT_TIMEOUT = base::Millis(700);

}

LinkDialer::LinkDialer(boost::asio::io_context& io, base::Address address, Identity localIdentity,
    LinkListener& listener, TrafficCounters& traffic)
    : m_io(io)
    , m_address(std::move(address))
    , m_localIdentity(std::move(localIdentity))
    , m_listener(listener)
    , m_traffic(traffic)
    , m_timer(io)
    , m_backoff(INITIAL_BACKOFF, MAX_BACKOFF, base::randomSeed())
{
}

void LinkDialer::start() { dial(); }

void LinkDialer::stop()
{
    m_stopped = true;
    m_timer.cancel();
    if (m_connectingSocket)
        m_connectingSocket->close();
    if (m_link)
        m_link->close("this process stops");
}

void LinkDialer::dialNow()
{
    if (m_stopped || m_link)
        return;
    m_backoff.reset();
    if (m_connectingSocket)
        m_connectingSocket->close();
    dial();
}

std::shared_ptr<Link> LinkDialer::link() const { return m_link && m_link->isReady() ? m_link : nullptr; }

void LinkDialer::dial()
{
    if (m_stopped)
        return;
    m_connectingSocket = std::make_shared<boost::asio::ip::tcp::socket>(m_io);
    boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(m_address.ip), m_address.port);
    auto self = shared_from_this();
    m_timer.expires_after(CONNECT_TIMEOUT);
    m_timer.async_wait([socket = m_connectingSocket](boost::system::error_code ec) {
        if (!ec)
            socket->close();
    });
    m_connectingSocket->async_connect(endpoint, [self, socket = m_connectingSocket](boost::system::error_code ec) {
        // Ignore the result when a newer attempt has replaced this one.
        if (socket != self->m_connectingSocket)
            return;
        self->m_timer.cancel();
        self->m_connectingSocket.reset();
        if (self->m_stopped)
            return;
        if (ec)
            return self->scheduleDial();
        self->m_link
            = std::make_shared<Link>(std::move(*socket), self->m_localIdentity, self->m_listener, self->m_traffic);
        self->m_link->start([self](bool wasReady) { self->onLinkClosed(wasReady); });
    });
}

void LinkDialer::onLinkClosed(bool wasReady)
{
    if (wasReady) {
        m_backoff.reset();
        m_consecutiveFailures = 0;
    }
    m_link.reset();
    scheduleDial();
}

void LinkDialer::scheduleDial()
{
    if (m_stopped)
        return;
    ++m_consecutiveFailures;
    m_timer.expires_after(m_backoff.next());
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (!ec)
            self->dial();
    });
}

} // namespace pomelowind::links
