// Storage of one claim holder. A claim records that one attempt, its owner, may run the non-idempotent request of an
// idempotency key; after the run it also stores the answer, which is returned to repeated requests. Claim holders are
// the nodes that store the claims of a key, and an epoch is a period with a fixed set of them (see ClaimVote.h). A
// coordinator, the node that accepted the request, obtains the claim from the holders before it sends the request to a
// target.
//
// A key carries its creation time (UUIDv7), so a holder that restarted knows for which keys it may have lost a claim.
#pragma once

#include "pomelowind/base/Wire.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace pomelowind::claims {

// Time after its creation for which a key can be used.
constexpr int64_t CLAIM_WINDOW_MS = 10LL * 60 * 1000;

// Memory limits of a table.
struct ClaimTableOptions {
    int64_t memoryBytes { 8 * 1024 * 1024 };
    int64_t answerBytes { 64 * 1024 }; // a longer answer is stored without its body and headers
};

// Pure decision logic without I/O. Thread safety: confined to the calls event loop.
class ClaimTable {
public:
    // `startMs` is the wall time at which this process started. Claims made before it are lost.
    ClaimTable(ClaimTableOptions options, int64_t startMs);

    // Handles one request of a coordinator. A repeated request gets the same answer.
    wire::ClaimAnswer handle(const wire::ClaimRequest& request, int64_t nowMs);
    size_t size() const { return m_claims.size(); }
    int64_t usedBytes() const { return m_usedBytes; }

private:
    struct Claim {
        std::string owner;
        int64_t fingerprint { 0 };
        bool done { false };
        wire::CallAnswer answer;
        int64_t bytes { 0 };
        int64_t expiresMs { 0 };
    };

    wire::ClaimAnswer take(const wire::ClaimRequest& request, int64_t keyMs, int64_t nowMs);
    wire::ClaimAnswer complete(const wire::ClaimRequest& request);
    wire::ClaimAnswer release(const wire::ClaimRequest& request);
    wire::ClaimAnswer look(const wire::ClaimRequest& request, int64_t keyMs, int64_t nowMs) const;
    bool hasCompleteRecordSince(int64_t keyMs) const;
    void erase(const std::string& key);
    void expire(int64_t nowMs);

    ClaimTableOptions m_options;
    int64_t m_startMs;
    std::unordered_map<std::string, Claim> m_claims;
    std::deque<std::pair<int64_t, std::string>> m_expiryQueue;
    int64_t m_usedBytes { 0 };
};

} // namespace pomelowind::claims
