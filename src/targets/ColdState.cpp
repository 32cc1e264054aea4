#include "pomelowind/targets/ColdState.h"

#include <algorithm>

namespace pomelowind::targets {

namespace {

    // Announcements travel on one host, so their delay usually varies by less. A target that others believe to be hot
    // gets calls that its gate refuses, so a later end is published sooner than an earlier one.
    constexpr auto LATER_TOLERANCE = base::Millis(250);
    constexpr auto EARLIER_TOLERANCE = base::Millis(500);

}

void ColdState::onAnnounced(std::optional<base::Millis> coldLeft, base::Millis coldStart, base::Instant receivedAt)
{
    bool isFirst = !m_isAnnounced;
    m_isAnnounced = true;
    if (m_trustedFrom) {
        // Only a report of 0 ends an assumption: a remaining time may have been measured too early.
        bool isTrusted = receivedAt > *m_trustedFrom && m_isConfirmed;
        m_isConfirmed = receivedAt > *m_trustedFrom;
        if (!isTrusted || (coldLeft && *coldLeft > base::Millis(0)))
            return;
        m_trustedFrom.reset();
        m_until = coldLeft ? receivedAt : std::max(m_until, m_assumedAt + coldStart);
        return;
    }
    if (coldLeft)
        m_until = receivedAt + *coldLeft;
    else if (isFirst)
        m_until = receivedAt + coldStart;
}

void ColdState::assume(base::Instant now, base::Instant trustedFrom)
{
    m_assumedAt = now;
    m_isConfirmed = false;
    m_trustedFrom = std::max(trustedFrom, m_trustedFrom.value_or(trustedFrom));
}

bool mustPublishCold(base::Instant published, base::Instant actual, base::Instant now)
{
    published = std::max(published, now);
    actual = std::max(actual, now);
    return actual > published + LATER_TOLERANCE || published > actual + EARLIER_TOLERANCE;
}

} // namespace pomelowind::targets
