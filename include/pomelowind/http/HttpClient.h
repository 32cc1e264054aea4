// HTTP/1.1 client with kept connections to one address. It says whether a failed request can have run.
#pragma once

#include "pomelowind/base/MemoryBudget.h"
#include "pomelowind/base/Settings.h"
#include "pomelowind/base/Time.h"
#include "pomelowind/http/HttpMessage.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace pomelowind::http {

// How an exchange ended.
enum class ExchangeEnd {
    Answered, // a whole response arrived
    NotSent, // no byte of the request was sent, so it did not run
    Ambiguous, // sent at least in part, and no whole response: it may have run
    TimedOut, // sent, and the deadline passed: it may have run
    Cancelled, // cancelled by this side after it may have been sent
};

struct ExchangeResult {
    ExchangeEnd end { ExchangeEnd::NotSent };
    HttpResponse response;
    std::string error;
};

// One request in flight.
class Exchange {
public:
    virtual ~Exchange() = default;
    // Gives up the request: closes its connection, which tells the target. The callback still runs.
    virtual void cancel() = 0;
};

// Thread safety: confined to the duty of `io`.
class HttpClient {
public:
    using Done = std::function<void(ExchangeResult)>;
    virtual ~HttpClient() = default;
    // Sends `request` and calls `done` once on the duty. Precondition: budget > 0.
    virtual std::shared_ptr<Exchange> request(HttpRequest request, base::Millis budget, Done done) = 0;
    virtual size_t connectionCount() const = 0;
    // Closes idle connections and refuses new requests.
    virtual void close() = 0;
};

struct HttpClientOptions {
    size_t connections { 120 }; // open at once; a request beyond that ends as NotSent
    // Header that the server copies from the request. A response without it belongs to an earlier request and is
    // dropped. Empty: responses are taken in order.
    std::string echoHeader;
    // An idle connection is not used again after this long, unless the server names a time of its own.
    base::Millis idleLifetime { 4000 };
    base::MemoryBudgetPtr bodyMemory; // bounds the bodies of responses together; nothing: each has its own bound only
    bool operator==(const HttpClientOptions&) const = default;
};

std::shared_ptr<HttpClient> makeHttpClient(
    boost::asio::io_context& io, const base::Address& address, HttpClientOptions options);

} // namespace pomelowind::http
