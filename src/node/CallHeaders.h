// Header fields of calls in the product's own protocol, and the choice of headers that are forwarded.
#pragma once

#include "pomelowind/base/Wire.h"
#include "pomelowind/http/HttpMessage.h"

#include <string_view>
#include <vector>

namespace pomelowind::node {

// Outcome of the request: ran, not-run or unknown.
inline constexpr char OUTCOME_HEADER[] = "X-Pomelowind-Outcome";
// Milliseconds left until the call's deadline. Sent to targets, and read from the calls that targets make.
inline constexpr char DEADLINE_HEADER[] = "X-Pomelowind-Deadline-Ms";
// Retries left for the whole tree of nested calls.
inline constexpr char RETRIES_HEADER[] = "X-Pomelowind-Retries-Left";
// Number of nodes that the call has passed through.
inline constexpr char DEPTH_HEADER[] = "X-Pomelowind-Depth";
// Present when the response is the stored answer of an earlier attempt.
inline constexpr char REPLAYED_HEADER[] = "X-Pomelowind-Replayed";
// Version of the target that answered.
inline constexpr char VERSION_HEADER[] = "X-Pomelowind-Version";
// Calls per second that the target accepts, a decimal number. In a target's response.
inline constexpr char MAX_RATE_HEADER[] = "X-Pomelowind-Max-Rate";
// "1" when the target will stop soon. In a target's response.
inline constexpr char LEAVING_HEADER[] = "X-Pomelowind-Leaving";
// Carries a key of a client account in callers' requests, in the scheme BEARER_SCHEME.
inline constexpr char AUTHORIZATION_HEADER[] = "Authorization";
inline constexpr char BEARER_SCHEME[] = "Bearer";
// Name of the client account whose key the call carries. Sent to targets.
inline constexpr char ACCOUNT_HEADER[] = "X-Pomelowind-Account";
inline constexpr char KEY_HEADER[] = "Idempotency-Key";
inline constexpr char NOT_RUN[] = "not-run";

// Returns the end-to-end headers: all but the hop-by-hop ones, Content-Length, and those that each node sets anew.
// Thread safety: pure.
std::vector<wire::Header> endToEndHeaders(const http::HttpHeaders& headers);
// Returns whether the answer of another node can be sent on over HTTP: a final status code, or none if the call is not
// known to have run, and fields that HTTP allows. Thread safety: pure.
bool isWellFormed(const wire::CallAnswer& answer);
// Returns the header value of an outcome, for example "not-run". Thread safety: pure.
const char* outcomeText(wire::Outcome::type outcome);
// Returns the integer in a header, or `fallback` when the header is absent or malformed. Thread safety: pure.
int64_t integerHeader(const http::HttpHeaders& headers, std::string_view name, int64_t fallback);

} // namespace pomelowind::node
