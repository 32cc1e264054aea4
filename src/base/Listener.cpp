#include "pomelowind/base/Listener.h"

#include "pomelowind/base/Errors.h"

#include <algorithm>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace pomelowind::base {

void listenOn(boost::asio::ip::tcp::acceptor& acceptor, const Address& address)
{
    try {
        boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(address.ip), address.port);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(boost::asio::socket_base::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen();
    } catch (const boost::system::system_error& e) {
        throw UserError(ErrorKind::Settings, "cannot listen on " + address.text() + ": " + e.what(),
            "choose a free port of this host in the settings");
    }
}

void enableDeadPeerDetection(boost::asio::ip::tcp::socket& socket, Millis timeout)
{
    auto set = [fd = socket.native_handle()](
                   int level, int option, int value) { ::setsockopt(fd, level, option, &value, sizeof value); };
    // Keepalive times are whole seconds. One probe is sent after half of the timeout without traffic, and the
    // connection is closed when the probe is not answered within the other half.
    int keepaliveSeconds = std::max<int>(1, static_cast<int>(timeout.count() / 2000));
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, keepaliveSeconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, keepaliveSeconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, 1);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(timeout.count()));
}

} // namespace pomelowind::base
