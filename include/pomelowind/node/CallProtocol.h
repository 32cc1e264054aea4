// How callers and targets state the terms of a call in HTTP. The call path works on the typed forms only, so one path
// serves the product's own headers and those of other platforms.
//
// caller's request -> CallTerms -> wire::CallRequest -> target's request -> wire::CallAnswer -> caller's response
#pragma once

#include "pomelowind/base/Time.h"
#include "pomelowind/base/Wire.h"
#include "pomelowind/http/HttpClient.h"
#include "pomelowind/http/HttpMessage.h"

#include <memory>
#include <optional>
#include <string>

namespace pomelowind::node {

// What a caller's request says about itself.
struct CallTerms {
    std::string requestId; // empty when the caller gave none
    std::string parentId; // request that the caller runs meanwhile, as the id tells; empty when it tells none
    std::optional<base::Millis> budget; // how long the caller waits
    std::optional<int64_t> retriesLeft; // for the whole tree of calls
    int64_t depth { 0 }; // nodes that the call has passed
    bool operator==(const CallTerms&) const = default;
};

// Thread safety: immutable, any thread.
class CallProtocol {
public:
    virtual ~CallProtocol() = default;
    virtual CallTerms readTerms(const http::HttpRequest& request) const = 0;
    // The headers that go to the target with the call.
    virtual std::vector<wire::Header> forwardedHeaders(
        const http::HttpRequest& request, int64_t retriesLeft, int64_t depth) const = 0;
    // The request as the target expects it, with `left` until its deadline and without its body.
    virtual http::HttpRequest targetRequest(const wire::CallRequest& request, base::Millis left) const = 0;
    // What the exchange with the target says about the call, above all whether it ran.
    virtual wire::CallAnswer targetAnswer(const wire::CallRequest& request, http::ExchangeResult result) const = 0;
    // The response to the caller. `version` is the target version that ran it, if any.
    virtual http::HttpResponse callerResponse(
        const wire::CallAnswer& answer, const CallTerms& terms, const std::string& version) const = 0;
    // Header that a target copies from the request to its response, or empty. A response without it belongs to another
    // request.
    virtual std::string echoHeader() const = 0;
};

// The product's own headers; see docs/operate/api.md.
std::unique_ptr<CallProtocol> makeProductCallProtocol();

// JSON body of an error that this node reports.
std::string errorBody(const std::string& error, const std::string& message, const std::string& remedy);

} // namespace pomelowind::node
