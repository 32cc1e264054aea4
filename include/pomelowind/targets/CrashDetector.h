// Tells the crash of a target from connections that break for other reasons, and names the calls that ran when it
// crashed. A crash breaks connections with running calls; afterwards the target refuses connections or is replaced by a
// new incarnation, and answers nothing in between. Pure decision logic without I/O.
#pragma once

#include "pomelowind/base/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pomelowind::targets {

// A call whose connection to the target ended before the response was complete.
struct BrokenCall {
    uint64_t fingerprint { 0 }; // see callFingerprint()
    std::string requestId;
    base::Instant at; // when the connection ended
    bool operator==(const BrokenCall&) const = default;
};

// Observes one incarnation of a target. Thread safety: confined to one event loop thread.
class CrashDetector {
public:
    // Records a running call whose connection has broken.
    void onCallBroken(BrokenCall call);
    // Records a running call whose connection this node has closed, because its caller has left or its deadline has
    // passed. The target may go on running it for a while.
    void onCallAbandoned(BrokenCall call);
    // Records a response to a request that was sent at `sentAt`: the target lived then, so earlier breaks are no crash.
    void onAnswered(base::Instant sentAt);
    // The target has refused a connection. Returns the calls that ran when it crashed; empty if it did not crash.
    std::vector<BrokenCall> onConnectionRefused(base::Instant now);
    // A new incarnation has replaced the target, or it is gone. Returns the same.
    std::vector<BrokenCall> onReplaced(base::Instant now);

private:
    std::vector<BrokenCall> takeSince(base::Instant earliest, base::Instant crashedBy);

    std::vector<BrokenCall> m_broken; // since the last response, in order
    std::vector<BrokenCall> m_abandoned; // of the last moments, in order
};

// Returns a hash that is equal for calls with the same method, host, path with query, calling service and body, and in
// practice differs for all others. Thread safety: pure.
uint64_t callFingerprint(std::string_view method, std::string_view host, std::string_view path,
    std::string_view callerService, std::string_view body);

} // namespace pomelowind::targets
