// Header fields of calls: those the mesh defines, and those that belong to one connection only.
#pragma once

#include "pomelowind/base/Wire.h"
#include "pomelowind/http/HttpMessage.h"

#include <string_view>
#include <vector>

namespace pomelowind::node {

// What became of the request: ran, not-run or unknown.
inline constexpr char OUTCOME_HEADER[] = "X-Pomelowind-Outcome";
// Milliseconds that are left for the call; passed on to targets and taken from their own calls.
inline constexpr char DEADLINE_HEADER[] = "X-Pomelowind-Deadline-Ms";
// Retries that are left for the whole tree of calls.
inline constexpr char RETRIES_HEADER[] = "X-Pomelowind-Retries-Left";
// How many nodes the call has passed.
inline constexpr char DEPTH_HEADER[] = "X-Pomelowind-Depth";
// Present when the answer is the remembered one of an earlier attempt.
inline constexpr char REPLAYED_HEADER[] = "X-Pomelowind-Replayed";
// The target version that answered.
inline constexpr char VERSION_HEADER[] = "X-Pomelowind-Version";
inline constexpr char KEY_HEADER[] = "Idempotency-Key";
inline constexpr char NOT_RUN[] = "not-run";

// The headers that travel with a call; connection-specific ones stay behind. Thread safety: pure.
std::vector<wire::Header> endToEndHeaders(const http::HttpHeaders& headers);
// Text of an outcome, for example "not-run". Thread safety: pure.
const char* outcomeText(wire::Outcome::type outcome);
// The number in a header, or `fallback` when it is absent or malformed. Thread safety: pure.
int64_t headerNumber(const http::HttpHeaders& headers, std::string_view name, int64_t fallback);

} // namespace pomelowind::node
