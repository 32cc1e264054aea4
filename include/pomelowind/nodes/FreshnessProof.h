// Proof that a configuration version was the newest at some moment, as nodes, relaying parents and follower control
// hosts obtain it from the host above them, up to the leader. See docs/design/leases.md.
#pragma once

#include "pomelowind/base/Time.h"
#include "pomelowind/base/Wire.h"

#include <deque>
#include <optional>

namespace pomelowind::nodes {

// Time bounds of the lease within which a node honours keys of client accounts.
struct LeaseBounds {
    // After a configuration without a key is acknowledged, calls with that key run for at most this long. 0: no leases.
    base::Millis revoke { 0 };

    bool enabled() const { return revoke > base::Millis(0); }
    // Returns how long a proof allows a node to honour keys, which is `revoke` less a margin for clocks that run at
    // different rates.
    base::Millis length() const;
    // Returns the time between two requests of a node. `relays`: nodes are parents of other nodes.
    base::Millis requestPeriod(bool relays) const;
};

// Keeps the latest proof of one process. All times are of the process's own clock. A proof starts at a moment that is
// certainly not later than the leader's statement; the time at which an answer arrives is never used, because a process
// that was frozen finds old answers in its sockets. No I/O. Thread safety: confined to one thread.
class FreshnessProof {
public:
    // Returns a request to the host above and remembers that it was sent.
    wire::FreshnessRequest request(base::Instant now);
    // Takes an answer. Answers without a proof, and those to requests that this process has not sent lately, are
    // ignored. Answers may be lost, late, duplicated and reordered.
    void onAnswer(const wire::FreshnessAnswer& answer);
    // The process runs this version. A proof of a newer version counts from then on.
    void setVersion(int64_t version);
    // Proves the own version at `now`. Precondition: the process is the leader, held its lease at `now`, has committed
    // in its term, and runs everything that it has committed.
    void proveAsLeader(base::Instant now);
    // Returns the latest moment at which the version that this process runs is known to have been the newest.
    std::optional<base::Instant> provenAt() const { return m_provenAt; }
    // Answers a request of a host below. Precondition: `now` was read after the request was received.
    wire::FreshnessAnswer answer(const wire::FreshnessRequest& request, base::Instant now) const;

private:
    struct Statement {
        base::Instant start;
        int64_t version { 0 };
    };

    void settle();

    int64_t m_version { 0 };
    std::optional<base::Instant> m_provenAt;
    std::deque<Statement> m_pending; // of versions that the process does not run yet
    std::deque<int64_t> m_sends; // sentAt of the latest requests
};

} // namespace pomelowind::nodes
