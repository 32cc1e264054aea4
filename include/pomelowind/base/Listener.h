// Opens a listening socket the same way for links and HTTP.
#pragma once

#include "pomelowind/base/Settings.h"

#include <boost/asio/ip/tcp.hpp>

namespace pomelowind::base {

// Binds `acceptor` and listens. Precondition: the acceptor is closed. Thread safety: confined to the acceptor's duty.
// Throws UserError(Settings) when the address cannot be bound.
void listenOn(boost::asio::ip::tcp::acceptor& acceptor, const Address& address);

} // namespace pomelowind::base
