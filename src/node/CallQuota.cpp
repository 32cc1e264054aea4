// The stage of CallPath that applies the limits of client accounts over all nodes; see docs/design/account-limits.md.

#include "CallHeaders.h"
#include "CallState.h"

#include <cmath>

namespace pomelowind::node {

using wire::Outcome;

void CallPath::updateQuota()
{
    static const std::vector<wire::AccountRatio> NO_RATIOS;
    m_quota.setContact(m_view->beaconAt, m_view->nodes, m_view->place);
    if (m_view->accountRatios == m_accountRatios)
        return;
    m_accountRatios = m_view->accountRatios;
    m_quota.replaceRatios(m_accountRatios ? *m_accountRatios : NO_RATIOS);
}

void CallPath::reportUsage()
{
    auto usage = m_quota.takeUsage(m_clock.now());
    if (usage.empty())
        return;
    wire::Report report;
    report.__set_usage(callers::packUsage(usage));
    m_reportSink(std::move(report));
}

// Refuses a call beyond the limit of its client account. Nested calls are part of one that has been counted: they carry
// no key, or their parent runs here.
bool CallPath::limitOverNodes(const CallPtr& call)
{
    const auto* account = call->clientAccount;
    bool isNested = m_localTargets.runningCalls().objectiveOf(call->parameters.parentId).has_value();
    if (!account || account->ratePerSecond <= 0 || isNested || !m_settings.limitsEnabled)
        return true;
    auto decision = m_quota.admit(*account, m_clock.now());
    call->isCounted = decision.admitted();
    if (decision.admitted())
        return true;
    ++m_counts.overQuota;
    m_counts.overEqualPart += decision.refusal == callers::QuotaRefusal::EqualPart ? 1 : 0;
    wire::CallAnswer answer;
    answer.outcome = Outcome::NOT_RUN;
    answer.status = STATUS_TOO_MANY_REQUESTS;
    answer.reason = "limit of client account " + account->name + ": " + callers::quotaRefusalName(decision.refusal)
        + ", rate " + std::to_string(account->ratePerSecond) + ", burst " + std::to_string(account->burst)
        + ", permille " + std::to_string(decision.permille) + ", left here "
        + std::to_string(std::lround(std::floor(decision.remaining)));
    answer.headers = { makeHeader("Content-Type", "application/json") };
    answer.retryAfterMs = static_cast<int32_t>(decision.retryAfter.count());
    answer.body
        = errorBody("busy", "the client account's limit is reached", "send it again after the time in Retry-After");
    finish(call, std::move(answer));
    return false;
}

// A call that has not run uses nothing of its account's limit.
void CallPath::creditBack(const CallPtr& call, const wire::CallAnswer& answer)
{
    if (call->isCounted && answer.outcome == Outcome::NOT_RUN)
        m_quota.creditBack(call->clientAccount->name, m_clock.now());
    call->isCounted = false;
}

} // namespace pomelowind::node
