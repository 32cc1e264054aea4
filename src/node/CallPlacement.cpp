#include "CallState.h"
#include "pomelowind/targets/CallPriority.h"

#include <algorithm>

namespace pomelowind::node {

using base::Millis;
using wire::Outcome;

namespace {

    // Gates that are asked for a free slot before the call may wait in an admission queue. Nodes know little of each
    // other's load, and a second attempt nearly always finds a free slot while there is one.
    constexpr int REFUSALS_BEFORE_QUEUEING = 2;
    // When gates refuse more than this ratio of attempts, calls queue at the first gate, since further attempts cost
    // more than the wait they save.
    constexpr double BUSY_REFUSAL_RATIO = 0.35;
    // How much longer this node waits for the target's node than that node waits for the target.
    constexpr auto PEER_TIMEOUT_MARGIN = Millis(20);
    // Operators set latency objectives at about this multiple of the typical service time. A node that has just started
    // estimates service times from it.
    constexpr int SERVICE_TIMES_PER_OBJECTIVE = 3;
    // Retry-After of calls that find only evacuated targets. A finished evacuation is in force on all nodes after about
    // a second; an earlier retry would find the same.
    constexpr auto EVACUATED_RETRY_DELAY = Millis(1000);

}

// Returns the targets whose nodes are unreachable. Skipping them avoids one failed attempt for each target of a host
// that is already known to be down.
std::set<std::string> CallPath::unreachableTargets() const
{
    std::set<std::string> out;
    const auto& addresses = m_peers.unreachable();
    if (addresses.empty())
        return out;
    for (const auto& it : *m_view->targets) {
        if (it.node != m_settings.id && addresses.count(it.callAddress))
            out.insert(it.target);
    }
    return out;
}

std::optional<targets::Placement> CallPath::chooseTarget(const CallPtr& call)
{
    const auto& service = *call->service;
    const auto& targets = *m_view->targets;
    auto now = m_clock.now();
    // Only a first attempt may go to the candidate version; a retry goes to the stable version, which is known to work.
    bool useCandidate = call->attempts == 0 && !service.candidate.empty()
        && m_versionSplitter.choose(service, m_view->beaconAt, now) == service.candidate;
    auto forbidden = m_evacuations.excludedTargets();
    const auto& leaving = m_notices.leaving();
    forbidden.insert(leaving.begin(), leaving.end());
    auto unreachable = unreachableTargets();
    unreachable.insert(forbidden.begin(), forbidden.end());
    auto avoid = unreachable;
    avoid.insert(call->triedTargets.begin(), call->triedTargets.end());
    targets::PlacementRequest placementRequest { call->route->name, call->body->size(), {} };
    if (call->objective)
        placementRequest.untilObjective = std::chrono::duration_cast<Millis>(*call->objective - now);
    std::optional<targets::Placement> placement;
    if (useCandidate) {
        placement = m_balancer.choose(targets, service.name, { service.candidate, {} }, avoid, now, placementRequest);
        if (!placement)
            m_versionSplitter.returnCredit(service);
    }
    targets::VersionFilter stable { service.stable, { service.candidate, service.excluded } };
    if (!placement)
        placement = m_balancer.choose(targets, service.name, stable, avoid, now, placementRequest);
    // Falls back to a target that was tried before, and then to one that seems unreachable, rather than failing the
    // call. A target that leaves is no choice: it would stop while it runs the call. Nor is an evacuated one.
    if (!placement && !call->triedTargets.empty())
        placement = m_balancer.choose(targets, service.name, stable, unreachable, now, placementRequest);
    if (!placement && !avoid.empty())
        placement = m_balancer.choose(targets, service.name, stable, forbidden, now, placementRequest);
    if (placement)
        call->version = placement->target.version;
    return placement;
}

void CallPath::dispatch(const CallPtr& call)
{
    if (m_isEnding) {
        wire::CallAnswer answer;
        answer.outcome = Outcome::NOT_RUN;
        answer.reason = "this node stops";
        return finish(call, std::move(answer));
    }
    if (refuseIfBlocked(call))
        return;
    auto placement = chooseTarget(call);
    if (!placement) {
        wire::CallAnswer answer;
        answer.outcome = Outcome::NOT_RUN;
        answer.reason = "no target of service '" + call->service->name + "' can take the call";
        if (m_evacuations.excludesTargetOf(call->service->name, *m_view->targets)) {
            answer.reason += "; some are in evacuated data centres";
            answer.retryAfterMs = static_cast<int32_t>(EVACUATED_RETRY_DELAY.count());
        }
        return finish(call, std::move(answer));
    }
    call->triedTargets.insert(placement->target.target);
    call->target = placement->target.target;
    send(call, *placement);
}

// Returns the priority of a call at the gate of its target. Where the configuration has client accounts, that of the
// account comes before that of the route. A call without an account ranks by the priority of its route alone.
int CallPath::gatePriority(const CallPtr& call) const
{
    int route = call->account ? call->account->priority : call->route->priority;
    if (!call->view->accountKeys || call->view->accountKeys->empty())
        return route;
    return targets::combinePriorities(call->accountPriority.value_or(route), route);
}

void CallPath::send(const CallPtr& call, const targets::Placement& placement)
{
    const auto& target = placement.target;
    auto now = m_clock.now();
    auto left = std::chrono::duration_cast<Millis>(call->deadline - now);
    if (call->route->idempotent && call->retriesLeft > 0)
        left = left * m_settings.firstAttemptPercent / 100;
    left = std::max(left, Millis(1));
    wire::CallRequest request;
    request.method = call->request.method;
    request.path = call->request.path;
    request.headers = m_protocol.forwardedHeaders(call->request, call->retriesLeft, call->parameters.depth + 1);
    request.budgetMs = static_cast<int32_t>(left.count());
    request.serviceName = call->service->name;
    request.target = target.target;
    request.account = call->account ? call->account->name : call->route->name;
    request.priority = gatePriority(call);
    if (call->clientAccount)
        request.clientAccount = call->clientAccount->name;
    request.requestId = call->parameters.requestId;
    request.callerService = m_settings.localService;
    request.incarnation = target.incarnation;
    request.nested = call->nested;
    bool gatesAreBusy = m_refusalRatio[call->service->name] > BUSY_REFUSAL_RATIO;
    auto serviceTime = m_balancer.typicalServiceTime(call->route->name);
    if (serviceTime <= Millis(0))
        serviceTime = Millis(call->route->objectiveMs / SERVICE_TIMES_PER_OBJECTIVE);
    bool willMissObjective = call->objective && now + serviceTime > *call->objective;
    request.usualMs = static_cast<int32_t>(serviceTime.count());
    request.mayWait
        = !call->objective || willMissObjective || gatesAreBusy || call->refusals >= REFUSALS_BEFORE_QUEUEING;
    if (!request.mayWait && placement.maxQueueWait && placement.maxQueueWait->count() > 0) {
        request.mayWait = true;
        request.mostWaitMs = static_cast<int32_t>(placement.maxQueueWait->count());
    }
    if (call->objective) {
        // On the wire, 0 means that the call has no objective.
        auto ms = base::toMillis(*call->objective - now);
        request.objectiveMs = static_cast<int32_t>(ms ? ms : -1);
    }
    if (auto rate = m_notices.maxCallsPerSecond(target))
        request.__set_maxCallsPerSecond(*rate);
    if (call->service->coldCallsPerSecond > 0)
        request.__set_coldCallsPerSecond(call->service->coldCallsPerSecond);
    m_balancer.onAttemptStarted(target.target);
    auto done = [this, call, target, now](wire::CallAnswer answer) { onAnswer(call, target, now, std::move(answer)); };
    call->peerCallId = 0;
    call->localCallId = 0;
    if (target.node == m_settings.id) {
        call->localCallId = m_localTargets.call(std::move(request), call->body, nullptr, done);
    } else {
        call->peerCallId = m_peers.call(target.callAddress, std::move(request), call->body, left + PEER_TIMEOUT_MARGIN,
            call->route->idempotent, now, done);
    }
}

} // namespace pomelowind::node
