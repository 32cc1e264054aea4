#include "pomelowind/links/LinkServer.h"

#include "pomelowind/base/Listener.h"
#include "pomelowind/base/Log.h"

namespace pomelowind::links {

namespace {

    constexpr auto ACCEPT_RETRY_DELAY = base::Millis(100);

}

LinkServer::LinkServer(boost::asio::io_context& io, const base::Address& address, Identity localIdentity,
    LinkListener& listener, TrafficCounters& traffic)
    : m_acceptor(io)
    , m_retryTimer(io)
    , m_localIdentity(std::move(localIdentity))
    , m_listener(listener)
    , m_traffic(traffic)
{
    base::listenOn(m_acceptor, address);
    accept();
}

void LinkServer::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code ec, boost::asio::ip::tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted)
            return;
        if (ec) {
            base::logWarn("link.accept_failed", { { "error", ec.message() } });
            m_retryTimer.expires_after(ACCEPT_RETRY_DELAY);
            m_retryTimer.async_wait([this](boost::system::error_code error) {
                if (!error)
                    accept();
            });
            return;
        }
        auto link = std::make_shared<Link>(std::move(socket), m_localIdentity, m_listener, m_traffic);
        m_links.insert(link);
        link->start([this, weak = std::weak_ptr<Link>(link)](bool) { m_links.erase(weak.lock()); });
        accept();
    });
}

void LinkServer::close()
{
    boost::system::error_code ec;
    m_acceptor.close(ec);
    m_retryTimer.cancel();
    auto links = m_links;
    for (const auto& it : links)
        it->close("this process stops");
}

} // namespace pomelowind::links
