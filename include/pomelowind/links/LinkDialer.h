// Maintains one outgoing link to a peer's address: connects, and reconnects with jittered exponential backoff after a
// failure.
#pragma once

#include "pomelowind/base/Backoff.h"
#include "pomelowind/links/Link.h"

namespace pomelowind::links {

// Connects to one address. Thread safety: confined to the event loop thread that runs `io`.
class LinkDialer : public std::enable_shared_from_this<LinkDialer> {
public:
    // Precondition: `listener` and `traffic` outlive the dialer and its links.
    LinkDialer(boost::asio::io_context& io, base::Address address, Identity localIdentity, LinkListener& listener,
        TrafficCounters& traffic);
    // Starts connecting; reconnects until stop(). Precondition: it has not been started before.
    void start();
    // Closes the link, cancels a pending attempt and stops reconnecting.
    void stop();
    // Resets the backoff and connects immediately. For a peer that has just been shown to be alive. Does nothing while
    // there is a link or after stop().
    void dialNow();
    // Returns the current link, or null while no link is ready.
    std::shared_ptr<Link> link() const;
    const base::Address& address() const { return m_address; }
    // Returns the number of failed attempts since the last link that became ready. The loss of a ready link counts as
    // one.
    int consecutiveFailures() const { return m_consecutiveFailures; }

private:
    void dial();
    void scheduleDial();
    void onLinkClosed(bool wasReady);

    boost::asio::io_context& m_io;
    base::Address m_address;
    Identity m_localIdentity;
    LinkListener& m_listener;
    TrafficCounters& m_traffic;
    boost::asio::steady_timer m_timer;
    base::Backoff m_backoff;
    std::shared_ptr<Link> m_link;
    std::shared_ptr<boost::asio::ip::tcp::socket> m_connectingSocket;
    int m_consecutiveFailures { 0 };
    bool m_stopped { false };
};

} // namespace pomelowind::links
