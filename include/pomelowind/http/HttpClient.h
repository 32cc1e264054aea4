// HTTP/1.1 client with a pool of persistent connections to one address; nodes call their local targets with it. The
// result of a failed request states whether the server may have executed it, which decides whether a retry is safe.
#pragma once

#include "pomelowind/base/MemoryBudget.h"
#include "pomelowind/base/Settings.h"
#include "pomelowind/base/Time.h"
#include "pomelowind/http/HttpMessage.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace pomelowind::http {

// How an exchange of one request and its response ended.
enum class ExchangeEnd {
    Answered, // a complete response arrived
    NotSent, // nothing was sent, so the server did not execute the request
    Ambiguous, // sending began, but no complete response arrived: the server may have executed it
    TimedOut, // sending began, and the deadline expired: the server may have executed it
    Cancelled, // cancelled by the client after sending began: the server may have executed it
};

// Outcome of an exchange. `response` is set if `end` is Answered, `error` otherwise.
struct ExchangeResult {
    ExchangeEnd end { ExchangeEnd::NotSent };
    HttpResponse response;
    std::string error;
    bool connectionRefused { false }; // nothing listens at the server's address
    bool connectionLost { false }; // the server's end of the connection was closed or reset after sending began
};

// Handle of one request in flight.
class Exchange {
public:
    virtual ~Exchange() = default;
    // Cancels the request by closing its connection, which the server can detect. The callback still runs. Does nothing
    // if the exchange has already ended.
    virtual void cancel() = 0;
};

// Sends requests over pooled connections. Thread safety: confined to the event loop thread of `io`.
class HttpClient {
public:
    using Callback = std::function<void(ExchangeResult)>;
    virtual ~HttpClient() = default;
    // Sends `request` and calls `done` exactly once on the event loop thread. `budget` is the time until the
    // deadline, including the time to connect. Precondition: budget > 0.
    virtual std::shared_ptr<Exchange> request(HttpRequest request, base::Millis budget, Callback done) = 0;
    // Number of open connections, idle or in use.
    virtual size_t connectionCount() const = 0;
    // Closes idle connections and ends new requests as NotSent. Requests in flight continue.
    virtual void close() = 0;
};

// Options of one client.
struct HttpClientOptions {
    size_t maxConnections { 120 }; // maximum of open connections; a request that would need one more ends as NotSent
    // Name of a header that the server copies from the request into the response. A response with another value belongs
    // to an earlier request and is discarded. A request that failed is sent again over another connection only. If
    // empty, responses are matched to requests by their order alone.
    std::string echoHeader;
    // Header by which a server refuses a request as not executed. A connection without echoes is not reused after it,
    // since the server may repeat the refusal where the response to the next request is due.
    HttpHeader refusalMark;
    // Idle connections are not reused after this time, or after the shorter one in the server's Keep-Alive header.
    base::Millis idleLifetime { 4000 };
    base::MemoryBudgetPtr bodyMemory; // limits all response bodies together; if null, only each single one is limited
    bool operator==(const HttpClientOptions&) const = default;
};

// Creates a client of the server at `address`. Connects on demand. Precondition: `io` outlives the client.
std::shared_ptr<HttpClient> makeHttpClient(
    boost::asio::io_context& io, const base::Address& address, HttpClientOptions options);

} // namespace pomelowind::http
