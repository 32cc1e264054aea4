#include "pomelowind/base/Listener.h"

#include "pomelowind/base/Errors.h"

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

} // namespace pomelowind::base
