#include "CallState.h"
#include "pomelowind/base/Log.h"

#include <algorithm>

namespace pomelowind::node {

using wire::Outcome;

void CallPath::updateCrashes()
{
    if (m_view->crashes == m_knownCrashes)
        return;
    m_knownCrashes = m_view->crashes;
    for (uint64_t it : m_crashSuspects.update(*m_knownCrashes, m_clock.now()))
        base::logWarn("call.blocked", { { "fingerprint", static_cast<int64_t>(it) } });
}

uint64_t CallPath::fingerprintOf(const CallPtr& call)
{
    if (!call->fingerprint)
        call->fingerprint = targets::callFingerprint(call->request.method,
            http::findHeader(call->request.headers, "Host"), call->request.path, m_settings.localService, *call->body);
    return *call->fingerprint;
}

bool CallPath::mayCrashTargets(const CallPtr& call)
{
    return !m_crashSuspects.empty() && m_crashSuspects.crashesOf(fingerprintOf(call)) > 0;
}

// Refuses a call that is known to crash its targets before it reaches one. Returns whether it did.
bool CallPath::refuseIfBlocked(const CallPtr& call)
{
    if (call->isTrial || !mayCrashTargets(call))
        return false;
    auto suspicion = m_crashSuspects.check(fingerprintOf(call), m_clock.now());
    call->isTrial = suspicion.isTrial;
    if (!suspicion.blocked)
        return false;
    ++m_counts.blocked;
    call->isBlocked = true;
    wire::CallAnswer answer;
    answer.outcome = Outcome::NOT_RUN;
    answer.status = STATUS_UNAVAILABLE;
    answer.reason = "calls like this one have crashed " + std::to_string(suspicion.crashes) + " targets";
    answer.headers = { makeHeader("Content-Type", "application/json") };
    answer.body = errorBody("unavailable", answer.reason, "mend the target or change the request");
    answer.retryAfterMs = static_cast<int32_t>(suspicion.retryAfter.count());
    finish(call, std::move(answer));
    return true;
}

// A call that ends with a response did not crash the targets at whose crashes it ran, or does so no more.
void CallPath::clearSuspicion(const CallPtr& call)
{
    if (!m_knownCrashes || !mayCrashTargets(call))
        return;
    auto fingerprint = static_cast<int64_t>(fingerprintOf(call));
    wire::Report report;
    for (const auto& it : *m_knownCrashes) {
        if (std::find(it.calls.begin(), it.calls.end(), fingerprint) == it.calls.end())
            continue;
        report.crashes.push_back(it);
        report.crashes.back().calls = report.crashes.back().cleared = { fingerprint };
    }
    m_crashSuspects.clear(fingerprintOf(call));
    m_reportSink(std::move(report));
}

} // namespace pomelowind::node
