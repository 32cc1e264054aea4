// The part of ControlCore that proves to nodes and to other control hosts that a version is the newest; see
// docs/design/leases.md.

#include "ControlCore.h"

namespace pomelowind::control {

using base::Instant;
using base::Millis;

namespace {

    constexpr auto REQUEST_PERIOD = Millis(250);
    // Four requests of a node, so that one that is late does not end the proof of this host.
    constexpr auto DEMAND_WINDOW = Millis(2000);

}

// A leader proves itself while no other host can have committed a version. Its own versions are acknowledged only after
// it has applied them.
wire::FreshnessAnswer ControlCore::answerFreshness(const wire::FreshnessRequest& request)
{
    m_freshness.setVersion(m_machine.state().version());
    if (m_replica.hasCommittedInTerm() && m_replica.hasLease(m_now) && m_appliedIndex >= m_replica.commitIndex())
        m_freshness.proveAsLeader(m_now);
    return m_freshness.answer(request, m_now);
}

// A follower asks the leader only while nodes ask it, so that other deployments have no such messages.
void ControlCore::askLeaderForProof()
{
    m_freshness.setVersion(m_machine.state().version());
    bool isAsked = m_freshnessAskedAt != Instant() && m_now - m_freshnessAskedAt < DEMAND_WINDOW;
    const auto& leader = m_replica.leader();
    if (!isAsked || leader.empty() || leader == m_settings.id || m_now < m_freshnessDue)
        return;
    m_freshnessDue = m_now + REQUEST_PERIOD;
    m_outputs.sendToMember(leader, links::FrameKind::FRESHNESS_REQUEST, base::encode(m_freshness.request(m_now)));
}

} // namespace pomelowind::control
