// Tells from the crashes of targets which calls may have caused them. A call that ran at one crash may have been a
// bystander; one that ran at several crashes and never ended with a response since is taken for the cause and blocked.
// Pure decision logic without I/O.
#pragma once

#include "pomelowind/base/Time.h"
#include "pomelowind/base/Wire.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace pomelowind::targets {

// What the known crashes say about a call.
struct CrashSuspicion {
    int crashes { 0 }; // at which the call ran; 0 when nothing speaks against it
    bool blocked { false };
    bool isTrial { false }; // blocked for others, but this call is to show whether it still crashes its target
    base::Millis retryAfter { 0 }; // until a blocked call may be tried again
    bool operator==(const CrashSuspicion&) const = default;
};

// Thread safety: confined to one event loop thread.
class CrashSuspects {
public:
    // `node` spreads the trials of blocked calls over the nodes.
    explicit CrashSuspects(std::string node);

    // Replaces the known crashes. Returns the fingerprints of calls that are blocked from now on.
    std::vector<uint64_t> update(const std::vector<wire::TargetCrash>& crashes, base::Instant now);
    // Returns whether no call is suspected, so that fingerprints are not needed.
    bool empty() const { return m_suspects.empty(); }
    // Returns what is known of the call with this fingerprint. Grants a trial of a blocked call whose time has come,
    // which then stays blocked here for others.
    CrashSuspicion check(uint64_t fingerprint, base::Instant now);
    // Returns at how many crashes the call with this fingerprint ran.
    int crashesOf(uint64_t fingerprint) const;
    // Forgets the crashes at which the call ran, until the next update.
    void clear(uint64_t fingerprint) { m_suspects.erase(fingerprint); }

private:
    struct Suspect {
        int crashes { 0 }; // at which the call ran, without a response since
        int cleared { 0 }; // crashes at which it ran, with a response since
        base::Instant lastCrashAt; // when this node learned of it
        base::Millis block { 0 }; // how long the call stays blocked after a crash; 0 while it is not blocked
        base::Instant nextTrial; // of a blocked call
    };

    std::string m_node;
    std::unordered_map<uint64_t, Suspect> m_suspects; // by fingerprint
};

} // namespace pomelowind::targets
