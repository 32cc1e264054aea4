// TCP proxy that injects faults: closes connections and refuses new ones, stalls one or both directions, discards what
// open connections carry, or adds latency. Tests, benchmarks and the fault campaign place it on the links between
// processes.
#pragma once

#include "pomelowind/base/Settings.h"
#include "pomelowind/http/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pomelowind::standins {

// One proxied address: connections to `listen` are forwarded to `forward`.
struct ProxyLink {
    std::string name;
    base::Address listen;
    base::Address forward;
};

// The fault that a link injects; the default forwards bytes unchanged.
struct ProxyFault {
    bool cut { false }; // close connections and refuse new ones
    bool holdForward { false }; // stall bytes sent by the side that opened the connection
    bool holdBackward { false }; // stall bytes sent to the side that opened the connection
    base::Millis delay { 0 }; // added to each chunk, in both directions
    // Discard from now on all bytes of the connections that are open when the fault is set, also after it has ended.
    bool silenceForward { false };
    bool silenceBackward { false };
    bool operator==(const ProxyFault&) const = default;
};

// Proxies a fixed set of links and changes their faults at run time. Thread safety: confined to the event loop thread
// of `io`.
class FaultProxy final : public http::HttpHandler {
public:
    FaultProxy(boost::asio::io_context& io, const std::vector<ProxyLink>& links);
    ~FaultProxy() override;
    // Sets the fault of every link whose name begins with `prefix`; returns the number of those links.
    int setFault(const std::string& prefix, const ProxyFault& fault);
    // Serves PUT /v1/faults/PREFIX with a JSON body {"cut":bool,"hold_forward":bool,"hold_backward":bool,"delay_ms":n};
    // absent fields mean no such fault. Answers with the number of links, or with status 422.
    void handle(http::HttpRequest request, std::shared_ptr<http::HttpReply> reply) override;

private:
    class Link;
    std::map<std::string, std::shared_ptr<Link>> m_links;
};

} // namespace pomelowind::standins
