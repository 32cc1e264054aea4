// The part of DistributionCore that obtains the proof within which keys of client accounts are honoured; see
// docs/design/leases.md.

#include "DistributionCore.h"
#include "pomelowind/base/Log.h"

namespace pomelowind::node {

using base::Instant;
using base::Millis;

namespace {

    // Without a proof a node refuses calls, so it asks again soon. Its parent may be about to get one.
    constexpr auto RETRY_PERIOD = Millis(100);

}

std::optional<Instant> DistributionCore::keysHonouredUntil() const
{
    if (!m_settings.lease.enabled())
        return std::nullopt;
    auto start = m_freshness.provenAt();
    return start ? *start + m_settings.lease.length() : Instant();
}

void DistributionCore::tickLease(Instant now)
{
    if (!m_settings.lease.enabled())
        return;
    bool holds = now < *keysHonouredUntil();
    if (holds != m_holdsLease) {
        m_holdsLease = holds;
        base::logInfo(
            holds ? "lease.held" : "lease.ended", { { "version", m_state->version() }, { "parent", parentId() } });
    }
    if (!m_admitted || now < m_freshnessDue)
        return;
    m_freshnessDue = now + (holds ? m_settings.lease.requestPeriod(m_settings.relays) : RETRY_PERIOD);
    m_outputs.sendParent(links::FrameKind::FRESHNESS_REQUEST, base::encode(m_freshness.request(now)));
}

void DistributionCore::handleFreshnessAnswer(const wire::FreshnessAnswer& answer)
{
    auto before = m_freshness.provenAt();
    m_freshness.onAnswer(answer);
    m_viewDirty = m_viewDirty || m_freshness.provenAt() != before;
}

} // namespace pomelowind::node
