// HTTP/1.1 server over Beast: keep-alive, chunked bodies, size limits, time limits, answers in request order.
#pragma once

#include "pomelowind/base/MemoryBudget.h"
#include "pomelowind/base/Settings.h"
#include "pomelowind/http/HttpMessage.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace pomelowind::http {

// Limits of one server.
struct HttpLimits {
    size_t headerBytes { 16 * 1024 };
    size_t bodyBytes { 1024 * 1024 };
    base::Millis requestTimeout { 10000 };
    base::Millis headerTimeout { 10000 }; // part of requestTimeout that the header may take
    base::Millis idleTimeout { 60000 };
    size_t connections { 4096 };
    bool operator==(const HttpLimits&) const = default;
};

// The way to answer one request. Thread safety: confined to the server's duty.
class HttpReply {
public:
    virtual ~HttpReply() = default;
    // Sends the response. Precondition: called at most once. Does nothing when the caller has gone.
    virtual void send(HttpResponse response) = 0;
    // Sends part of a response that declares `declaredBytes`, then cuts the connection; for fault injection.
    virtual void sendCut(HttpResponse response, size_t declaredBytes) = 0;
    // Called when the caller goes away before the answer.
    virtual void onCancel(std::function<void()> cancelled) = 0;
};

// Receives whole requests, on the server's duty.
class HttpHandler {
public:
    virtual ~HttpHandler() = default;
    virtual void handle(HttpRequest request, std::shared_ptr<HttpReply> reply) = 0;
};

// Thread safety: confined to the duty of `io`.
class HttpServer {
public:
    virtual ~HttpServer() = default;
    // From now on every answer says "Connection: close". The listener stays open; `done` is called when no
    // connection is left or `grace` has passed since; then the listener closes.
    virtual void drain(base::Millis grace, std::function<void()> done) = 0;
    // Closes listener and connections at once.
    virtual void close() = 0;
    virtual size_t connectionCount() const = 0;
    // Bounds for requests that are read from now on.
    virtual void setLimits(HttpLimits limits) = 0;
};

// Listens at once. `bodyMemory` bounds the bodies of all requests that are read or not yet answered; a request whose
// body does not fit is answered 503 as not run. Throws UserError(Settings) when the address cannot be bound.
std::unique_ptr<HttpServer> makeHttpServer(boost::asio::io_context& io, const base::Address& address, HttpLimits limits,
    HttpHandler& handler, base::MemoryBudgetPtr bodyMemory = nullptr);

} // namespace pomelowind::http
