// Decides until when the node beside a target counts it as cold, from the target's announcements and from evidence that
// it may have started again. All times are of this node's monotonic clock: an announcement tells the remaining time
// relative to the moment at which it was made, and counting from its receipt can only be too late. Pure decision logic
// without I/O.
#pragma once

#include "pomelowind/base/Time.h"

#include <optional>

namespace pomelowind::targets {

// Observes one incarnation of a target. Thread safety: confined to one event loop thread.
class ColdState {
public:
    // Applies an announcement received at `receivedAt`. `coldLeft` is empty if the target does not tell; it then counts
    // as cold for `coldStart` from its first announcement, and from an assumption. Precondition: the caller has dropped
    // announcements that are out of date.
    void onAnnounced(std::optional<base::Millis> coldLeft, base::Millis coldStart, base::Instant receivedAt);
    // Counts the target as cold until an announcement received after `trustedFrom` says that it is not. The first one
    // does not count: it may have been made before what gave rise to the assumption, and have arrived late.
    void assume(base::Instant now, base::Instant trustedFrom);
    bool isCold(base::Instant now) const { return now < until(); }
    // Returns the end of the cold state; Instant::max() while it is assumed without a known end.
    base::Instant until() const { return m_trustedFrom ? base::Instant::max() : m_until; }

private:
    base::Instant m_until;
    base::Instant m_assumedAt;
    std::optional<base::Instant> m_trustedFrom; // set while the target is assumed to be cold
    bool m_isAnnounced { false };
    bool m_isConfirmed { false }; // an announcement has been received after m_trustedFrom
};

// Returns whether the presence of a target has to be published again because the end of its cold state has moved from
// `published` to `actual`. Small differences stem from the travel time of announcements. Thread safety: pure.
bool mustPublishCold(base::Instant published, base::Instant actual, base::Instant now);

} // namespace pomelowind::targets
