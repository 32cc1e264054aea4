// Keeps one link to a peer's address: dials, and dials again with jittered backoff after a loss.
#pragma once

#include "pomelowind/base/Backoff.h"
#include "pomelowind/links/Link.h"

namespace pomelowind::links {

// Thread safety: confined to the duty of `io`.
class LinkDialer : public std::enable_shared_from_this<LinkDialer> {
public:
    LinkDialer(
        boost::asio::io_context& io, base::Address address, Identity self, LinkListener& listener, Traffic& traffic);
    // Dials until stop(). Precondition: not started.
    void start();
    // Closes the link and dials no more.
    void stop();
    // Dials without waiting for the backoff, because the peer has just shown that it is there. No effect while there is
    // a link or after stop().
    void dialNow();
    // The current link, or null while there is none that is ready.
    std::shared_ptr<Link> link() const;
    const base::Address& address() const { return m_address; }
    // Failed attempts since the last ready link.
    int failures() const { return m_failures; }

private:
    void dial();
    void dialLater();
    void ended(bool wasReady);

    boost::asio::io_context& m_io;
    base::Address m_address;
    Identity m_self;
    LinkListener& m_listener;
    Traffic& m_traffic;
    boost::asio::steady_timer m_timer;
    base::Backoff m_backoff;
    std::shared_ptr<Link> m_link;
    std::shared_ptr<boost::asio::ip::tcp::socket> m_dialing;
    int m_failures { 0 };
    bool m_stopped { false };
};

} // namespace pomelowind::links
