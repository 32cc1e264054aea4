#include "CallHeaders.h"
#include "CallState.h"
#include "pomelowind/base/Log.h"

#include <algorithm>

namespace pomelowind::node {

using base::Instant;
using base::Micros;
using base::Millis;
using wire::Outcome;

namespace {

    // Refusals by gates after which the call itself is refused. With more attempts, an overloaded service costs more
    // messages than it serves calls.
    constexpr int MAX_REFUSALS = 3;
    constexpr double REFUSAL_SMOOTHING = 0.05; // weight of one attempt in the moving average
    constexpr int MIN_FAILURE_STATUS = 500;

}

void CallPath::onAnswer(const CallPtr& call, const wire::Presence& target, Instant sentAt, wire::CallAnswer answer)
{
    auto latency = std::chrono::duration_cast<Micros>(m_clock.now() - sentAt);
    recordOutcome(call, target, latency, answer);
    if (answer.outcome == Outcome::RAN)
        clearSuspicion(call);
    if (call->ended) {
        // The caller has gone away; its claim still records the outcome for a later resend.
        if (call->claim && answer.outcome != Outcome::NOT_RUN)
            m_claimCoordinator.complete(*call->claim, answer);
        else if (call->claim)
            m_claimCoordinator.release(*call->claim);
        return;
    }
    if (answer.outcome != Outcome::NOT_RUN)
        call->mayHaveRun = true;
    bool failed = answer.outcome != Outcome::RAN || (answer.fault && call->route->idempotent);
    if (failed && mayRetry(call, answer)) {
        logCall(call, "call.retried", answer);
        ++m_counts.retries;
        return dispatch(call);
    }
    finish(call, std::move(answer));
}

void CallPath::recordOutcome(
    const CallPtr& call, const wire::Presence& target, Micros latency, const wire::CallAnswer& answer)
{
    targets::AttemptResult result { target.target, answer.fault, answer.refused, latency, answer.inFlight,
        answer.queued, call->route->name, Micros(answer.runMicros), Micros(answer.typicalMicros),
        answer.outcome == Outcome::RAN ? answer.body.size() : 0, Millis(answer.retryAfterMs), {} };
    if (answer.refused || answer.runMicros)
        result.cold = answer.cold;
    m_balancer.onAttemptEnded(result, m_clock.now());
    recordNotice(target, answer);
    auto& ratio = m_refusalRatio[call->service->name];
    ratio += REFUSAL_SMOOTHING * ((answer.refused ? 1 : 0) - ratio);
    // A refusal by the gate depends on load, not on the version, and is no evidence about the version.
    bool hasCandidate = !call->service->candidate.empty();
    bool neverArrived = answer.outcome == Outcome::NOT_RUN && !answer.arrived;
    if (!hasCandidate || answer.refused || neverArrived || call->ended)
        return;
    callers::AttemptRecord record;
    record.serviceName = call->service->name;
    // A service without an earlier move has no named stable version; every target that does not run the candidate
    // counts as stable.
    record.version = target.version == call->service->candidate ? target.version : call->service->stable;
    record.route = call->route->path;
    record.account = call->account ? call->account->name : call->route->name;
    record.target = target.target;
    record.dataCentre = target.dataCentre;
    record.failed = answer.outcome != Outcome::RAN || answer.fault || answer.status >= MIN_FAILURE_STATUS;
    // Uses the service time at the target alone: queueing at a busy gate slows all versions alike and would hide a slow
    // one.
    record.latency = answer.runMicros ? Micros(answer.runMicros) : latency;
    record.countLatency = !answer.cold && !record.failed;
    m_evidence.record(record);
}

// Remembers what the target has said, as far as the answer tells. A gate that has just started refuses calls without
// knowing it, so only the answer of a call that ran shows that the target asks for nothing.
void CallPath::recordNotice(const wire::Presence& target, const wire::CallAnswer& answer)
{
    targets::TargetNotice notice;
    notice.leaving = answer.leaving;
    if (answer.__isset.maxCallsPerSecond)
        notice.maxCallsPerSecond = answer.maxCallsPerSecond;
    bool isSilent = notice == targets::TargetNotice();
    // A late answer of an earlier incarnation says nothing about the listed one.
    bool isReplaced = !isSilent && std::any_of(m_view->targets->begin(), m_view->targets->end(), [&](const auto& it) {
        return it.target == target.target && it.targetIncarnation != target.targetIncarnation;
    });
    if ((answer.outcome == Outcome::RAN || !isSilent) && !isReplaced)
        m_notices.record(target, notice, m_clock.now());
}

// A call that provably did not run may always be sent again; one that may have run only if its route is idempotent. An
// attempt that reached no target, because a gate refused it or the node was unreachable, cost no target any work: it
// neither counts as an attempt nor draws on the retry budget.
bool CallPath::mayRetry(const CallPtr& call, const wire::CallAnswer& answer)
{
    bool safe = answer.outcome == Outcome::NOT_RUN || call->route->idempotent;
    if (!safe || call->deadline - m_clock.now() <= Millis(1))
        return false;
    // The next target might crash as well.
    if (answer.outcome == Outcome::UNKNOWN && mayCrashTargets(call))
        return false;
    if (answer.outcome == Outcome::NOT_RUN && !answer.arrived)
        return ++call->refusals <= MAX_REFUSALS;
    ++call->attempts;
    if (call->retriesLeft <= 0 || !retryBudget(call->service->name).tryTake(m_clock.now()))
        return false;
    --call->retriesLeft;
    return true;
}

// ---- the answer ----

void CallPath::finish(const CallPtr& call, wire::CallAnswer answer)
{
    call->ended = true;
    // The last attempt not having run does not prove that an earlier one did not.
    if (call->mayHaveRun && answer.outcome == Outcome::NOT_RUN) {
        answer.outcome = Outcome::UNKNOWN;
        answer.status = 0;
    }
    creditBack(call, answer);
    if (call->claim) {
        if (answer.outcome == Outcome::NOT_RUN)
            m_claimCoordinator.release(*call->claim);
        else
            m_claimCoordinator.complete(*call->claim, answer);
    }
    if (answer.outcome == Outcome::NOT_RUN && call->objective && !call->isBlocked)
        setRetryAdvice(call, answer);
    reply(call, answer);
    --m_openCalls;
}

void CallPath::setRetryAdvice(const CallPtr& call, wire::CallAnswer& answer)
{
    auto now = m_clock.now();
    auto until = [now](Instant at) { return std::chrono::duration_cast<Millis>(at - now); };
    callers::Refusal refusal;
    refusal.untilSlot = Millis(answer.retryAfterMs);
    refusal.timeLeft
        = call->parameters.budget ? until(call->arrivedAt + *call->parameters.budget) : until(call->deadline);
    refusal.untilObjective = until(*call->objective);
    answer.retryAfterMs = static_cast<int32_t>(callers::retryBackoff(refusal, m_random).count());
}

void CallPath::reply(const CallPtr& call, const wire::CallAnswer& answer)
{
    m_counts.notRun += answer.outcome == Outcome::NOT_RUN ? 1 : 0;
    m_counts.unknown += answer.outcome == Outcome::UNKNOWN ? 1 : 0;
    if (m_latencyRecorder)
        m_latencyRecorder(std::chrono::duration<double>(m_clock.now() - call->arrivedAt).count());
    if (answer.outcome != Outcome::RAN || answer.fault) {
        logCall(call, "call.failed", answer);
        // Callers of a blocked call are refused whatever the load is.
        if (call->route && !call->isBlocked)
            m_elapsedTimeEstimator.recordRefusal(call->route->name, m_clock.now());
    }
    call->reply->send(m_protocol.makeCallerResponse(answer, call->parameters, call->version));
}

// Logs a call that failed or is retried, rate-limited; successful calls appear in the metrics only.
void CallPath::logCall(const CallPtr& call, const char* event, const wire::CallAnswer& answer) const
{
    auto now = m_clock.now();
    const auto* release = call->view->config->release();
    base::logRateLimited(event,
        { { "request", call->parameters.requestId }, { "outcome", outcomeText(answer.outcome) },
            { "status", answer.status }, { "reason", answer.reason }, { "route", call->route ? call->route->name : "" },
            { "target", call->target }, { "attempts", call->attempts }, { "refusals", call->refusals },
            { "nested", call->nested ? 1 : 0 }, { "age_ms", base::toMillis(now - call->arrivedAt) },
            { "left_ms", base::toMillis(call->deadline - now) }, { "release", release ? release->number : 0 },
            { "retry_after_ms", answer.retryAfterMs } });
}

void CallPath::onCancelled(const CallPtr& call)
{
    if (call->ended)
        return;
    call->ended = true;
    --m_openCalls;
    // A claimed request runs to its end, because a resend with the same key must get its answer.
    if (call->claim)
        return;
    if (call->peerCallId)
        m_peers.cancel(call->peerCallId);
    if (call->localCallId)
        m_localTargets.cancel(call->localCallId);
    // A cancelled call gets no answer, so its end is reported to the balancer's in-flight count here.
    if (call->peerCallId || call->localCallId) {
        targets::AttemptResult result;
        result.refused = true;
        result.target = call->target;
        m_balancer.onAttemptEnded(result, m_clock.now());
    }
}

} // namespace pomelowind::node
