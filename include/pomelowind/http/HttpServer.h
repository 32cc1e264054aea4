// HTTP/1.1 server over Boost.Beast with keep-alive, pipelining, chunked bodies, limits of size and time, and responses
// in the order of the requests. It accepts callers' requests at nodes, announcements of targets, and operators'
// requests at control hosts.
#pragma once

#include "pomelowind/base/MemoryBudget.h"
#include "pomelowind/base/Settings.h"
#include "pomelowind/http/HttpMessage.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace pomelowind::http {

// Limits of one server; sizes and times are per request.
struct HttpLimits {
    size_t maxHeaderBytes { 16 * 1024 }; // of the whole header; 64 KiB at most
    size_t maxBodyBytes { 1024 * 1024 };
    // For reading a request, and for a caller to take some more of its response.
    base::Millis requestTimeout { 10000 };
    base::Millis headerTimeout { 10000 }; // of reading the header; stored, but not enforced apart from requestTimeout
    base::Millis idleTimeout { 60000 }; // until the first byte of the next request
    // Maximum of open connections. Beyond it, those that have been longest without a request are closed; when none is,
    // new ones are closed at once.
    size_t maxConnections { 4096 };
    // While memory is short, callers that take their response or send their request slower lose their connections.
    double slowCallerBytesPerSecond { 16 * 1024 };
    // Limits of what is read ahead on one connection: no further request is read while so many are unanswered, or while
    // they and their responses have so many bytes.
    size_t pipelineDepth { 64 };
    size_t pipelineBytes { 1024 * 1024 };
    bool operator==(const HttpLimits&) const = default;
};

// Connections that a server has closed to protect the process, since its start.
struct ClosedCallers {
    uint64_t idle { 0 }; // open without a request, while there were too many
    uint64_t refused { 0 }; // new ones, while there were too many and none was idle
    uint64_t slow { 0 }; // slow ones while memory was short
};

// Returns how many connections a listener may hold that may use this share of the descriptors of the process.
size_t connectionsForShare(double share);

// Responds to one request. Thread safety: confined to the server's event loop thread.
class HttpReply {
public:
    virtual ~HttpReply() = default;
    // Sends the response. Does nothing when the caller has disconnected. Precondition: called at most once.
    virtual void send(HttpResponse response) = 0;
    // Sends a response that declares a body of `declaredBytes`, of which `response.body` is only a part, and closes the
    // connection. Does not send `response.headers`. Used for fault injection.
    virtual void sendTruncated(HttpResponse response, size_t declaredBytes) = 0;
    // Sets the function that is called when the caller disconnects before the response is sent.
    virtual void onCancel(std::function<void()> callback) = 0;
};

// Handles complete requests on the server's event loop thread. A request whose handler throws gets 500, unless it is an
// InternalFault.
class HttpHandler {
public:
    virtual ~HttpHandler() = default;
    virtual void handle(HttpRequest request, std::shared_ptr<HttpReply> reply) = 0;
    // Returns whether the request may be handled beside others of its connection that are not answered yet. One that
    // may not is handled once all before it have been answered, and those behind it wait for its response.
    virtual bool mayOverlap(const HttpRequest&) const { return false; }
};

// Serves one address. Thread safety: confined to the event loop thread of `io`.
class HttpServer {
public:
    virtual ~HttpServer() = default;
    // Begins a graceful shutdown: every further response carries "Connection: close". New connections are accepted
    // until `grace` has passed; after that the listener closes, and requests that still arrive get 503 as not executed.
    // Calls `done` once `grace` has passed and no connection is open.
    virtual void drain(base::Millis grace, std::function<void()> done) = 0;
    // Closes the listener and all connections immediately.
    virtual void close() = 0;
    virtual size_t connectionCount() const = 0;
    virtual ClosedCallers closedCallers() const = 0;
    // Sets the limits of requests whose first byte arrives after the call, also on connections that are open.
    virtual void setLimits(HttpLimits limits) = 0;
};

// Creates a server that listens at once. `bodyMemory` limits the bodies of all requests that are being read or not yet
// answered, and the responses that wait for their callers; a request whose body does not fit gets 503 as not executed,
// and one whose response does not fit gets 502. Throws UserError(Settings) when the address
// cannot be bound. Precondition: `io` and `handler` outlive the server.
std::unique_ptr<HttpServer> makeHttpServer(boost::asio::io_context& io, const base::Address& address, HttpLimits limits,
    HttpHandler& handler, base::MemoryBudgetPtr bodyMemory = nullptr);

} // namespace pomelowind::http
