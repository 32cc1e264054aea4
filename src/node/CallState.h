// State of a caller's call, and what the stages of CallPath share. The stages are in files of their own, in the order
// in which a call passes them: CallAdmission.cpp (identify, limit), CallClaims.cpp, CallPlacement.cpp, CallAnswer.cpp.
// CallSuspicion.cpp recognizes calls that crash targets; PeerRequests.cpp serves the calls of other nodes.
#pragma once

#include "CallPath.h"

#include <optional>
#include <set>
#include <string>

namespace pomelowind::node {

inline constexpr int STATUS_UNAVAILABLE = 503;
inline constexpr int STATUS_TIMEOUT = 504;

inline wire::Header makeHeader(const std::string& name, const std::string& value)
{
    wire::Header out;
    out.name = name;
    out.value = value;
    return out;
}

// State of a caller's call, from its arrival to its answer.
struct CallPath::Call {
    http::HttpRequest request; // without its body
    BodyPtr body;
    CallParameters parameters;
    std::shared_ptr<http::HttpReply> reply;
    MeshViewPtr view;
    const wire::Route* route { nullptr };
    const wire::AccountResource* account { nullptr };
    const wire::ServiceResource* service { nullptr };
    // Client account whose key the call carries; null: none, as for nested calls. Valid as long as `view`.
    const wire::ClientAccount* clientAccount { nullptr };
    bool isCounted { false }; // towards the limit of its client account
    std::optional<int> accountPriority; // of the client account, or of the parent call's
    base::Instant deadline;
    std::optional<base::Instant> objective; // time by which the latency objective asks for the answer
    int64_t retriesLeft { 0 };
    base::Instant arrivedAt;
    int attempts { 0 }; // failed attempts that may have reached a target
    int refusals { 0 }; // attempts that reached no target: refused by a gate, or node unreachable
    bool nested { false }; // made by a target while it ran another call
    bool mayHaveRun { false }; // some attempt ended without proof that it did not run
    std::set<std::string> triedTargets; // targets of earlier attempts
    std::optional<ClaimHandle> claim;
    std::string version; // target version of the last attempt
    std::string target; // target of the last attempt
    std::optional<uint64_t> fingerprint; // computed only while some call is suspected of crashing targets
    bool isBlocked { false }; // refused because it crashes its targets
    bool isTrial { false }; // a blocked call whose time for a trial has come
    bool ended { false }; // answered, or cancelled by the caller
    int64_t peerCallId { 0 }; // id in PeerCalls of the attempt in flight; 0 when it is at a local target
    uint64_t localCallId { 0 }; // id in LocalTargets of the attempt in flight; 0 when it is at another node
};

} // namespace pomelowind::node
