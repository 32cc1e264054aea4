// Opens a listening socket the same way for links and HTTP.
#pragma once

#include "pomelowind/base/Settings.h"

#include <boost/asio/ip/tcp.hpp>

namespace pomelowind::base {

// Binds `acceptor` and listens. Precondition: the acceptor is closed. Thread safety: confined to the acceptor's duty.
// Throws UserError(Settings) when the address cannot be bound.
void listenOn(boost::asio::ip::tcp::acceptor& acceptor, const Address& address);

// Makes the kernel close a connection whose peer has fallen silent: when sent bytes are not acknowledged, or probes of
// an idle connection not answered, for `timeout`. Without it a host that loses its power leaves its peers waiting.
void noticeDeadPeer(boost::asio::ip::tcp::socket& socket, Millis timeout);

} // namespace pomelowind::base
