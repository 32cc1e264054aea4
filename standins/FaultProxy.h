// TCP proxy that injects faults: cuts connections, refuses new ones, holds bytes in one or both directions, delays.
#pragma once

#include "pomelowind/base/Settings.h"
#include "pomelowind/http/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pomelowind::standins {

// One proxied address.
struct ProxyLink {
    std::string name;
    base::Address listen;
    base::Address forward;
};

// What happens to a link's bytes.
struct ProxyFault {
    bool cut { false }; // close connections and refuse new ones
    bool holdForward { false }; // keep back what flows from the dialing side
    bool holdBackward { false }; // keep back what flows to the dialing side
    base::Millis delay { 0 };
    bool operator==(const ProxyFault&) const = default;
};

// Thread safety: confined to the duty of `io`.
class FaultProxy final : public http::HttpHandler {
public:
    FaultProxy(boost::asio::io_context& io, const std::vector<ProxyLink>& links);
    ~FaultProxy() override;
    // Sets the fault of every link whose name begins with `prefix`; returns how many there are.
    int set(const std::string& prefix, const ProxyFault& fault);
    // PUT /v1/faults/PREFIX with a JSON body {"cut":bool,"hold_forward":bool,"hold_backward":bool,"delay_ms":n}.
    void handle(http::HttpRequest request, std::shared_ptr<http::HttpReply> reply) override;

private:
    class Link;
    std::map<std::string, std::shared_ptr<Link>> m_links;
};

} // namespace pomelowind::standins
