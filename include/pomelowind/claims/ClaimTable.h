// One holder's memory of which non-idempotent requests have been claimed, and of their first answers.
// A key carries its creation time (UUIDv7), so a holder that restarted knows which keys it cannot vouch for.
#pragma once

#include "pomelowind/base/Wire.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace pomelowind::claims {

// How long a key can be used after its creation.
constexpr int64_t CLAIM_WINDOW_MS = 10LL * 60 * 1000;

// Bounds of a table.
struct ClaimTableOptions {
    int64_t memoryBytes { 8 * 1024 * 1024 };
    int64_t answerBytes { 64 * 1024 }; // a longer answer is remembered without its body
};

// A decision class. Thread safety: confined to the calls duty.
class ClaimTable {
public:
    // `startMs` is the wall time at which this process started; nothing before it is remembered.
    ClaimTable(ClaimTableOptions options, int64_t startMs);

    // Handles one request of a coordinator. Repeats give the same answer.
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
    bool vouchesFor(int64_t keyMs) const;
    void erase(const std::string& key);
    void expire(int64_t nowMs);

    ClaimTableOptions m_options;
    int64_t m_startMs;
    std::unordered_map<std::string, Claim> m_claims;
    std::deque<std::pair<int64_t, std::string>> m_expiry;
    int64_t m_usedBytes { 0 };
};

} // namespace pomelowind::claims
