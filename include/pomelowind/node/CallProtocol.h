// Translates between the HTTP messages of callers and targets and the typed messages that nodes exchange. The call path
// works on the typed forms only, so one implementation serves the product's own headers and those of other platforms.
//
// Flow: caller's request -> CallParameters -> wire::CallRequest -> target's request -> wire::CallAnswer -> caller's
// response
#pragma once

#include "pomelowind/base/Time.h"
#include "pomelowind/base/Wire.h"
#include "pomelowind/http/HttpClient.h"
#include "pomelowind/http/HttpMessage.h"
#include "pomelowind/targets/TargetNotice.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace pomelowind::node {

// Holds the call parameters that a caller's request carries in its headers.
struct CallParameters {
    std::string requestId; // empty when the request has none
    // Id of the request that the caller was running when it made this call, as derived from the request id; empty when
    // the id names none.
    std::string parentId;
    std::optional<base::Millis> budget; // how long the caller waits for the response
    std::optional<int64_t> retriesLeft; // shared by the whole tree of nested calls
    int64_t depth { 0 }; // number of nodes that the call has passed through
    bool operator==(const CallParameters&) const = default;
};

// Reads and writes the HTTP headers of calls in one dialect. Thread safety: immutable, any thread.
class CallProtocol {
public:
    virtual ~CallProtocol() = default;
    // Returns the call parameters of a caller's request.
    virtual CallParameters parseCallParameters(const http::HttpRequest& request) const = 0;
    // Returns the key of a client account that a caller's request carries, or an empty view. The view refers to the
    // request.
    virtual std::string_view parseKey(const http::HttpRequest& request) const = 0;
    // Removes the key, and what only this system may tell a target about the client account, from a caller's headers.
    virtual void removeAccountHeaders(http::HttpHeaders& headers) const = 0;
    // Returns the headers that are forwarded to the target with the call.
    virtual std::vector<wire::Header> forwardedHeaders(
        const http::HttpRequest& request, int64_t retriesLeft, int64_t depth) const = 0;
    // Returns the request in the form that the target expects, without its body. `left` is the time until its deadline.
    virtual http::HttpRequest makeTargetRequest(const wire::CallRequest& request, base::Millis left) const = 0;
    // Derives the answer from the exchange with the target, in particular whether the call ran.
    virtual wire::CallAnswer parseTargetResponse(
        const wire::CallRequest& request, http::ExchangeResult result) const = 0;
    // Returns what the target says about itself in its response. Returns nothing if there is no response, if it may
    // come from another target, or if it cannot be read; the target's earlier notice then stays valid.
    virtual std::optional<targets::TargetNotice> parseTargetNotice(const http::ExchangeResult& result) const = 0;
    // Returns the response to the caller. `version` is the target version that ran the call; empty if none did.
    virtual http::HttpResponse makeCallerResponse(
        const wire::CallAnswer& answer, const CallParameters& parameters, const std::string& version) const = 0;
    // Returns the name of the header that a target copies from the request to its response, or an empty string. A
    // response that lacks the header or has another value belongs to another request.
    virtual std::string echoHeader() const = 0;
    // Returns the header by which a target refuses a call as not run, if its responses name no request; else an empty
    // one.
    virtual http::HttpHeader refusalMark() const = 0;
};

// Creates the protocol with the product's own headers; see docs/operate/api.md.
std::unique_ptr<CallProtocol> makeProductCallProtocol();

// Status of a call without a known key of a client account.
inline constexpr int STATUS_UNAUTHORIZED = 401;
inline constexpr int STATUS_TOO_MANY_REQUESTS = 429;

// Returns the key in an Authorization header with this scheme, ignoring the scheme's case, or an empty view when the
// header has another form. Thread safety: pure.
std::string_view keyOfScheme(std::string_view authorization, std::string_view scheme);

// Returns the JSON body of an error that this node reports.
std::string errorBody(const std::string& error, const std::string& message, const std::string& remedy);

} // namespace pomelowind::node
