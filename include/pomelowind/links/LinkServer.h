// The accepting side of links: listens on one address for links from peers.
#pragma once

#include "pomelowind/links/Link.h"

#include <boost/asio/ip/tcp.hpp>
#include <unordered_set>

namespace pomelowind::links {

// Owns the links that it accepts. Thread safety: confined to the event loop thread that runs `io`.
class LinkServer {
public:
    // Starts listening. Precondition: `listener` and `traffic` outlive the server and its links. Throws
    // UserError(Settings) when the address cannot be bound.
    LinkServer(boost::asio::io_context& io, const base::Address& address, Identity localIdentity,
        LinkListener& listener, TrafficCounters& traffic);
    // Stops accepting and closes every accepted link.
    void close();
    size_t linkCount() const { return m_links.size(); }

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_retryTimer;
    Identity m_localIdentity;
    LinkListener& m_listener;
    TrafficCounters& m_traffic;
    std::unordered_set<std::shared_ptr<Link>> m_links;
};

} // namespace pomelowind::links
