// The part of ControlCore that carries usage of client accounts to the leader and ratios to the nodes; see
// docs/design/account-limits.md.

#include "ControlCore.h"

#include "pomelowind/base/Packing.h"

namespace pomelowind::control {

using base::Millis;

namespace {

    constexpr auto QUOTA_PERIOD = Millis(20);
    // Each message to the leader crosses data centres; a longer period delays the reaction to a burst.
    constexpr auto USAGE_PERIOD = Millis(50);
    constexpr auto RATIOS_PERIOD = Millis(100);
    constexpr auto NODE_COUNT_PERIOD = Millis(500);
    // Nodes acknowledge every 2 s. Those without contact use their equal part after 1.5 s already; what they use
    // until they are counted as such is covered by the tolerance, as the design note shows.
    constexpr auto NODE_CONTACT_WINDOW = Millis(5000);
    // Nodes that have not been heard of for longer are not running.
    constexpr auto NODE_RETENTION = Millis(600000);

}

void ControlCore::learnLimits()
{
    if (m_limitsVersion == m_machine.state().version())
        return;
    m_limitsVersion = m_machine.state().version();
    std::vector<wire::ClientAccount> accounts;
    m_machine.state().forEach([&](const wire::Resource& it) {
        if (it.__isset.clientAccount && it.clientAccount.ratePerSecond > 0)
            accounts.push_back(it.clientAccount);
    });
    m_quota.setLimits(accounts);
}

void ControlCore::countNodes()
{
    size_t inContact = 0;
    size_t running = 0;
    for (const auto& it : m_acks.recentAcks(m_now, NODE_RETENTION)) {
        const auto* node = m_directory.findNode(it.node);
        if (node && node->gone && node->stopped)
            continue;
        ++running;
        inContact += m_acks.isReachable(it.node, m_now, NODE_CONTACT_WINDOW) ? 1 : 0;
    }
    m_quota.setNodes(inContact, running);
}

void ControlCore::tickQuota(bool leadsWithLease)
{
    learnLimits();
    if (!m_quota.hasLimits()) {
        m_usage.clear();
        // A host that has just started may not have applied the limits yet.
        if (leadsWithLease)
            m_accountRatios.clear();
        m_leadsQuota = false;
        return;
    }
    if (!std::exchange(m_leadsQuota, leadsWithLease) && leadsWithLease)
        m_quota.start(m_accountRatios, m_now);
    if (!leadsWithLease)
        return sendUsage();
    if (m_now >= m_nodeCountDue) {
        m_nodeCountDue = m_now + NODE_COUNT_PERIOD;
        countNodes();
    }
    if (!m_usage.empty())
        m_quota.addUsage(m_usage.take(), m_now);
    if (m_now >= m_quotaDue) {
        m_quotaDue = m_now + QUOTA_PERIOD;
        m_ratiosChanged = m_quota.update(m_now) || m_ratiosChanged;
    }
    publishRatios();
}

// A follower passes usage on to the leader. Without one it is dropped: it would count later as calls of that moment.
void ControlCore::sendUsage()
{
    if (m_usage.empty() || m_now < m_usageDue)
        return;
    m_usageDue = m_now + USAGE_PERIOD;
    wire::MemberReport report;
    report.report.__set_usage(callers::packUsage(m_usage.take()));
    if (!m_replica.leader().empty() && m_replica.leader() != m_settings.id)
        m_outputs.sendToMember(m_replica.leader(), links::FrameKind::MEMBER_REPORT, base::encode(report));
}

// Publishes ratios that have changed enough. Others go out with the next beacon.
void ControlCore::publishRatios()
{
    if (!m_ratiosChanged || m_now < m_ratiosDue)
        return;
    m_ratiosChanged = false;
    m_ratiosDue = m_now + RATIOS_PERIOD;
    m_accountRatios = m_quota.ratios();
    wire::MemberReport report;
    report.__set_accountRatios(m_accountRatios);
    broadcastToMembers(report);
    wire::Spread out;
    out.__set_accountRatios(m_accountRatios);
    broadcastToNodes(out);
}

} // namespace pomelowind::control
