// Socket setup that the link and HTTP servers have in common: listening, and detection of dead peers.
#pragma once

#include "pomelowind/base/Settings.h"

#include <boost/asio/ip/tcp.hpp>

namespace pomelowind::base {

// Opens `acceptor`, binds it to `address` and listens. Precondition: the acceptor is closed.
// Thread safety: confined to the acceptor's event loop thread. Throws UserError(Settings) when the address cannot be
// bound.
void listenOn(boost::asio::ip::tcp::acceptor& acceptor, const Address& address);

// Makes the kernel close a connection whose peer no longer responds: when sent bytes stay unacknowledged for `timeout`,
// or when an idle connection's keepalive probe is not answered within about `timeout` (two seconds at least). Without
// it the peers of a host that loses power would keep waiting for it. Thread safety: confined to the socket's event loop
// thread.
void enableDeadPeerDetection(boost::asio::ip::tcp::socket& socket, Millis timeout);

} // namespace pomelowind::base
