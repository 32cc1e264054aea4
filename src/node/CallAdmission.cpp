#include "CallHeaders.h"
#include "CallState.h"
#include "pomelowind/callers/KeyCheck.h"
#include "pomelowind/targets/CallPriority.h"

#include <algorithm>

namespace pomelowind::node {

using base::Instant;
using base::Millis;
using wire::Outcome;

namespace {

    constexpr int64_t DEFAULT_MAX_RETRIES = 2;
    constexpr int64_t MAX_CALL_DEPTH = 16;

}

bool CallPath::mayOverlap(const http::HttpRequest& request) const
{
    if (!m_view->routes)
        return false;
    auto match = m_view->routes->find(http::findHeader(request.headers, "Host"), request.path, request.method);
    return match.route && match.methodAllowed && match.route->idempotent;
}

void CallPath::handle(http::HttpRequest request, std::shared_ptr<http::HttpReply> reply)
{
    ++m_counts.calls;
    ++m_openCalls;
    auto call = std::make_shared<Call>();
    call->body = std::make_shared<const std::string>(std::move(request.body));
    call->request = std::move(request);
    call->reply = std::move(reply);
    call->view = m_view;
    call->arrivedAt = m_clock.now();
    call->parameters = m_protocol.parseCallParameters(call->request);
    if (!admit(call))
        return;
    call->reply->onCancel([this, call] { onCancelled(call); });
    retryBudget(call->service->name).addTokens(m_settings.retryShare);
    if (call->account && !call->route->idempotent && !http::findHeader(call->request.headers, KEY_HEADER).empty())
        return startClaim(call);
    dispatch(call);
}

bool CallPath::rejectCall(
    const CallPtr& call, int status, const std::string& error, const std::string& message, const std::string& remedy)
{
    wire::CallAnswer answer;
    answer.outcome = Outcome::NOT_RUN;
    answer.status = status;
    answer.reason = message;
    answer.headers = { makeHeader("Content-Type", "application/json") };
    answer.body = errorBody(error, message, remedy);
    if (status == STATUS_UNAVAILABLE) {
        auto uptime = std::chrono::duration_cast<Millis>(m_clock.now() - m_startedAt);
        answer.retryAfterMs = static_cast<int32_t>(callers::startupBackoff(uptime, m_random).count());
    }
    finish(call, std::move(answer));
    return false;
}

// Returns the time by which the call should be answered. The objective counts from the caller's first attempt, which is
// estimated from the time budget that the caller has left.
std::optional<Instant> CallPath::objectiveOf(const CallPtr& call)
{
    const auto& route = *call->route;
    if (route.objectiveMs <= 0)
        return std::nullopt;
    Millis elapsed(0);
    if (call->parameters.budget)
        elapsed = m_elapsedTimeEstimator.estimateElapsed(route.name, *call->parameters.budget, call->arrivedAt);
    return call->arrivedAt + Millis(route.objectiveMs) - elapsed;
}

bool CallPath::admit(const CallPtr& call)
{
    return identify(call) && limitOverNodes(call) && checkBounds(call) && limit(call);
}

// Finds the route, the client account and the service of a call.
bool CallPath::identify(const CallPtr& call)
{
    const auto& headers = call->request.headers;
    if (!m_view->serving || !m_view->routes)
        return rejectCall(
            call, STATUS_UNAVAILABLE, "unavailable", "this node has no accepted configuration yet", "try again later");
    auto match = m_view->routes->find(http::findHeader(headers, "Host"), call->request.path, call->request.method);
    if (!match.route)
        return rejectCall(
            call, 404, "not_found", "no route for this host and path", "check the Host header and the path");
    if (!checkKey(call, *match.route))
        return false;
    if (!match.methodAllowed)
        return rejectCall(
            call, 405, "invalid_input", "the route does not take " + call->request.method, "use a method of the route");
    call->route = match.route;
    call->account = match.account;
    const auto& serviceName
        = match.route->split.empty() ? match.route->serviceName : m_weightedSplitter.choose(*match.route);
    call->service = m_view->config->service(serviceName);
    return true;
}

// Finds the client account of a call by its key, where the configuration has client accounts, and takes the key out of
// the request.
bool CallPath::checkKey(const CallPtr& call, const wire::Route& route)
{
    const auto& keys = m_view->accountKeys;
    if (!keys || keys->empty())
        return true;
    const auto& running = m_localTargets.runningCalls();
    const auto& parentId = call->parameters.parentId;
    auto key = m_protocol.parseKey(call->request);
    const auto& until = m_view->keysHonouredUntil;
    callers::KeyEvidence evidence;
    evidence.mayHonourKeys = !until || call->arrivedAt < *until;
    call->clientAccount = key.empty() || !evidence.mayHonourKeys ? nullptr : keys->find(key);
    evidence.needsKey = !route.withoutAccount;
    evidence.hasKey = !key.empty();
    evidence.isKnown = call->clientAccount;
    evidence.namesParent = !parentId.empty();
    evidence.parentRuns = running.objectiveOf(parentId).has_value();
    // A target may run calls that it got from an earlier process of this node.
    evidence.parentMayRun = running.mayStillRun(parentId, call->arrivedAt)
        || call->arrivedAt < m_startedAt + m_view->routes->longestTimeout();
    m_protocol.removeAccountHeaders(call->request.headers);
    if (call->clientAccount)
        call->accountPriority = call->clientAccount->priority;
    else if (auto priority = running.priorityOf(parentId))
        call->accountPriority = targets::accountPriorityOf(*priority);
    switch (callers::checkKey(evidence)) {
    case callers::KeyVerdict::Admitted:
        return true;
    case callers::KeyVerdict::ParentUnknown:
        return rejectCall(call, STATUS_UNAVAILABLE, "unavailable",
            "this node does not know whether the call that made this one runs", "try again later");
    case callers::KeyVerdict::LeaseEnded:
        ++m_counts.withoutLease;
        return rejectCall(call, STATUS_UNAVAILABLE, "unavailable",
            "this node cannot prove that its configuration is recent", "send it to another node, or try again later");
    case callers::KeyVerdict::Unauthorized:
        break;
    }
    ++m_counts.unauthorized;
    return rejectCall(call, STATUS_UNAUTHORIZED, "unauthorized", "the request carries no known key of a client account",
        "send a key that the configuration gives to a client account");
}

// Derives the call's retries, deadline and objective, and refuses a call that must not or cannot run.
bool CallPath::checkBounds(const CallPtr& call)
{
    if (refuseIfBlocked(call))
        return false;
    const auto& parameters = call->parameters;
    if (parameters.depth >= MAX_CALL_DEPTH)
        return rejectCall(
            call, 508, "invalid_input", "the call has passed too many nodes", "look for a loop between services");
    bool isRootCall = parameters.depth == 0;
    int64_t maxRetries = call->route->maxAttempts > 0 ? call->route->maxAttempts - 1 : DEFAULT_MAX_RETRIES;
    call->retriesLeft
        = std::clamp<int64_t>(parameters.retriesLeft.value_or(isRootCall ? maxRetries : 0), 0, maxRetries);
    Millis routeBudget(call->route->timeoutMs);
    auto budget = std::min(routeBudget, parameters.budget.value_or(routeBudget));
    if (budget <= Millis(0))
        return rejectCall(call, STATUS_TIMEOUT, "timeout", "the deadline has passed", "allow more time");
    call->deadline = call->arrivedAt + budget;
    auto parentObjective = m_localTargets.runningCalls().objectiveOf(parameters.parentId);
    call->nested = parameters.depth > 0 || parentObjective;
    call->objective = parentObjective && *parentObjective != Instant::max() ? parentObjective : objectiveOf(call);
    // A nested call is part of one that has been accepted, which would fail with it.
    if (m_lastDeadline && call->deadline > *m_lastDeadline && !call->nested)
        return rejectCall(call, STATUS_UNAVAILABLE, "unavailable", "this node stops before the call has to end",
            "send it to another node");
    return true;
}

// Applies the rate limit of the call's client account.
bool CallPath::limit(const CallPtr& call)
{
    // The rate limit applies to callers' own calls, so the nested calls that targets make for them are not counted
    // again.
    bool isRootCall = call->parameters.depth == 0;
    if (!isRootCall || !call->account || !m_settings.limitsEnabled)
        return true;
    auto rateLimit = m_accountLimiter.checkCall(*call->account, m_clock.now());
    if (rateLimit.allowed)
        return true;
    ++m_counts.limited;
    wire::CallAnswer answer;
    answer.outcome = Outcome::NOT_RUN;
    answer.status = 429;
    answer.headers = { makeHeader("Content-Type", "application/json"),
        makeHeader("RateLimit-Limit", std::to_string(rateLimit.limit)), makeHeader("RateLimit-Remaining", "0") };
    answer.retryAfterMs = static_cast<int32_t>(rateLimit.retryAfter.count());
    answer.body
        = errorBody("busy", "the client account's limit is reached", "send it again after the time in Retry-After");
    finish(call, std::move(answer));
    return false;
}

} // namespace pomelowind::node
