#include "CallPath.h"

#include "CallHeaders.h"
#include "CallerLimits.h"
#include "pomelowind/base/Hash.h"
#include "pomelowind/base/Log.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace pomelowind::node {

using base::Instant;
using base::Micros;
using base::Millis;
using claims::ClaimDecision;
using claims::KeyProblem;
using wire::Outcome;

namespace {

    constexpr int64_t DEFAULT_MAX_RETRIES = 2;
    constexpr int64_t MAX_CALL_DEPTH = 16;
    // Refusals by gates after which the call itself is refused. With more attempts, an overloaded service costs more
    // messages than it serves calls.
    constexpr int MAX_REFUSALS = 3;
    // Gates that are asked for a free slot before the call may wait in an admission queue. Nodes know little of each
    // other's load, and a second attempt nearly always finds a free slot while there is one.
    constexpr int REFUSALS_BEFORE_QUEUEING = 2;
    // Ratio of the mesh-wide retry burst that the nodes' buckets hold together; the rest covers nodes that restart with
    // a full bucket.
    constexpr double RETRY_SLACK_RATIO = 0.5;
    // When gates refuse more than this ratio of attempts, calls queue at the first gate, since further attempts cost
    // more than the wait they save.
    constexpr double BUSY_REFUSAL_RATIO = 0.35;
    constexpr double REFUSAL_SMOOTHING = 0.05; // weight of one attempt in the moving average
    // How much longer this node waits for the target's node than that node waits for the target.
    constexpr auto PEER_TIMEOUT_MARGIN = Millis(20);
    // Operators set latency objectives at about this multiple of the typical service time. A node that has just started
    // estimates service times from it.
    constexpr int SERVICE_TIMES_PER_OBJECTIVE = 3;
    // Evidence threshold for a decision by this node alone: higher than the one that the control hosts use for the
    // whole mesh.
    constexpr double LOCAL_EVIDENCE_THRESHOLD = 11.5;
    // Time from a call's deadline until its answer has left, sent by a sweep of this node or of the target's.
    constexpr auto ANSWER_MARGIN = Millis(100);
    constexpr int MIN_FAILURE_STATUS = 500;
    constexpr int STATUS_UNAVAILABLE = 503;
    constexpr int STATUS_TIMEOUT = 504;

    wire::Header header(const std::string& name, const std::string& value)
    {
        wire::Header out;
        out.name = name;
        out.value = value;
        return out;
    }

    const char* keyRemedy(KeyProblem problem)
    {
        switch (problem) {
        case KeyProblem::NotUuidV7:
            return "use a UUIDv7 as the Idempotency-Key";
        case KeyProblem::FromFuture:
            return "set the caller's clock; the key's time is in the future";
        case KeyProblem::TooOld:
            return "the key is older than 10 minutes; find out whether the request ran before sending it with a new "
                   "key";
        default:
            return "try again; this node has no agreed claim holders at the moment";
        }
    }

}

// State of a caller's call, from its arrival to its answer.
struct CallPath::Call {
    http::HttpRequest request; // without its body
    BodyPtr body;
    CallParameters parameters;
    std::shared_ptr<http::HttpReply> reply;
    MeshViewPtr view;
    const wire::Route* route { nullptr };
    const wire::AccountResource* account { nullptr };
    const wire::ServiceResource* service { nullptr };
    Instant deadline;
    std::optional<Instant> objective; // time by which the latency objective asks for the answer
    int64_t retriesLeft { 0 };
    Instant arrivedAt;
    int attempts { 0 }; // failed attempts that may have reached a target
    int refusals { 0 }; // attempts that reached no target: refused by a gate, or node unreachable
    bool nested { false }; // made by a target while it ran another call
    bool mayHaveRun { false }; // some attempt ended without proof that it did not run
    std::set<std::string> triedTargets; // targets of earlier attempts
    std::optional<ClaimHandle> claim;
    std::string version; // target version of the last attempt
    std::string target; // target of the last attempt
    std::optional<uint64_t> fingerprint; // computed only while some call is suspected of crashing targets
    bool isBlocked { false }; // refused because it crashes its targets
    bool isTrial { false }; // a blocked call whose time for a trial has come
    bool ended { false }; // answered, or cancelled by the caller
    int64_t peerCallId { 0 }; // id in PeerCalls of the attempt in flight; 0 when it is at a local target
    uint64_t localCallId { 0 }; // id in LocalTargets of the attempt in flight; 0 when it is at another node
};

CallPath::CallPath(boost::asio::io_context& io, const NodeSettings& settings, const CallProtocol& protocol,
    const base::Clock& clock, ReportSink reportSink, uint64_t seed)
    : m_settings(settings)
    , m_protocol(protocol)
    , m_clock(clock)
    , m_reportSink(std::move(reportSink))
    , m_view(std::make_shared<MeshView>())
    , m_bodyMemory(std::make_shared<base::MemoryBudget>(static_cast<size_t>(settings.bodyMemoryBytes)))
    , m_peers(io, settings, clock, *this, m_bodyMemory)
    , m_localTargets(io, settings, protocol, clock, m_bodyMemory)
    , m_claimCoordinator(settings, m_peers, clock)
    , m_balancer(settings.dataCentre, seed, { settings.crossingMsPerKilobyte })
    , m_crashSuspects(settings.id)
    , m_random(seed + 1)
    , m_startedAt(clock.now())
    , m_elapsedTimeEstimator(m_startedAt)
    , m_weightedSplitter(seed + 2)
{
    m_localTargets.setCrashListener([this](wire::TargetCrash crash) {
        wire::Report report;
        report.crashes.push_back(std::move(crash));
        m_reportSink(std::move(report));
    });
    m_server = http::makeHttpServer(io, settings.callerAddress, callerLimits(settings, nullptr), *this, m_bodyMemory);
}

void CallPath::setView(MeshViewPtr view)
{
    m_view = std::move(view);
    applyServerLimits();
    updateCrashes();
    m_balancer.retain(*m_view->targets);
    m_notices.retain(*m_view->targets, m_clock.now());
    for (auto& [service, budget] : m_retryBudgets)
        budget.setBurst(retryBurst());
    for (const auto* service : m_view->config->services()) {
        auto& watch = m_moveWatches[service->name];
        if (watch.moveId == service->moveId)
            continue;
        watch.moveId = service->moveId;
        moves::EvidenceOptions options;
        options.decisionThreshold = LOCAL_EVIDENCE_THRESHOLD;
        watch.aggregator = service->moveId.empty()
            ? nullptr
            : std::make_unique<moves::EvidenceAggregator>(service->candidate, service->stable, options);
    }
}

void CallPath::applyServerLimits()
{
    const auto* release = m_view->config->release();
    if (!release || release->number == m_limitsRelease)
        return;
    m_limitsRelease = release->number;
    m_server->setLimits(callerLimits(m_settings, release));
    base::logInfo(
        "callers.limits_applied", { { "release", release->number }, { "header_bytes", release->headerBytes } });
}

// Nodes do not exchange their retry counts, so each keeps to an equal part of the mesh-wide burst. The number of
// targets stands in for the number of nodes, which is about the same.
double CallPath::retryBurst() const
{
    if (m_settings.retrySlack <= 0)
        return m_settings.retryBurst;
    auto nodes = static_cast<double>(std::max<size_t>(1, m_view->targets ? m_view->targets->size() : 1));
    return std::max(1.0, RETRY_SLACK_RATIO * m_settings.retrySlack / nodes);
}

base::TokenBucket& CallPath::retryBudget(const std::string& service)
{
    auto it = m_retryBudgets.find(service);
    if (it == m_retryBudgets.end())
        it = m_retryBudgets.emplace(service, base::TokenBucket(m_settings.retryReserve, retryBurst(), m_clock.now()))
                 .first;
    return it->second;
}

// ---- arrival ----

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
    answer.headers = { header("Content-Type", "application/json") };
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
    const auto& headers = call->request.headers;
    if (!m_view->serving || !m_view->routes)
        return rejectCall(
            call, STATUS_UNAVAILABLE, "unavailable", "this node has no accepted configuration yet", "try again later");
    auto match = m_view->routes->find(http::findHeader(headers, "Host"), call->request.path, call->request.method);
    if (!match.route)
        return rejectCall(
            call, 404, "not_found", "no route for this host and path", "check the Host header and the path");
    if (!match.methodAllowed)
        return rejectCall(
            call, 405, "invalid_input", "the route does not take " + call->request.method, "use a method of the route");
    call->route = match.route;
    call->account = match.account;
    const auto& serviceName
        = match.route->split.empty() ? match.route->serviceName : m_weightedSplitter.choose(*match.route);
    call->service = m_view->config->service(serviceName);
    if (refuseIfBlocked(call))
        return false;
    const auto& parameters = call->parameters;
    if (parameters.depth >= MAX_CALL_DEPTH)
        return rejectCall(
            call, 508, "invalid_input", "the call has passed too many nodes", "look for a loop between services");
    bool isRootCall = parameters.depth == 0;
    int64_t maxRetries = match.route->maxAttempts > 0 ? match.route->maxAttempts - 1 : DEFAULT_MAX_RETRIES;
    call->retriesLeft
        = std::clamp<int64_t>(parameters.retriesLeft.value_or(isRootCall ? maxRetries : 0), 0, maxRetries);
    Millis routeBudget(match.route->timeoutMs);
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
    // The rate limit applies to callers' own calls, so the nested calls that targets make for them are not counted
    // again.
    if (!isRootCall || !call->account || !m_settings.limitsEnabled)
        return true;
    auto rateLimit = m_accountLimiter.checkCall(*call->account, m_clock.now());
    if (rateLimit.allowed)
        return true;
    ++m_counts.limited;
    wire::CallAnswer answer;
    answer.outcome = Outcome::NOT_RUN;
    answer.status = 429;
    answer.headers = { header("Content-Type", "application/json"),
        header("RateLimit-Limit", std::to_string(rateLimit.limit)), header("RateLimit-Remaining", "0") };
    answer.retryAfterMs = static_cast<int32_t>(rateLimit.retryAfter.count());
    answer.body
        = errorBody("busy", "the client account's limit is reached", "send it again after the time in Retry-After");
    finish(call, std::move(answer));
    return false;
}

// ---- claims ----

void CallPath::startClaim(const CallPtr& call)
{
    ClaimHandle handle;
    handle.key = http::findHeader(call->request.headers, KEY_HEADER);
    const auto* ring = call->view->config->claimRing();
    if (ring)
        handle.claimHolders
            = claims::findClaimHolders(*ring, handle.key, m_clock.wallMs(), call->view->claimsThroughMs);
    else
        handle.claimHolders.problem = KeyProblem::NoEpoch;
    if (handle.claimHolders.problem != KeyProblem::None) {
        bool noEpoch = handle.claimHolders.problem == KeyProblem::NoEpoch;
        // The holders' records of an old key have expired, so it is unknown whether its request ran.
        wire::CallAnswer answer;
        answer.outcome
            = handle.claimHolders.problem == KeyProblem::TooOld || noEpoch ? Outcome::UNKNOWN : Outcome::NOT_RUN;
        answer.status = noEpoch ? STATUS_UNAVAILABLE : 422;
        answer.headers = { header("Content-Type", "application/json") };
        answer.body = errorBody(noEpoch ? "unavailable" : "invalid_input", "the request cannot be claimed",
            keyRemedy(handle.claimHolders.problem));
        return finish(call, std::move(answer));
    }
    handle.owner = m_claimCoordinator.newOwner();
    handle.fingerprint = static_cast<int64_t>(base::hash64(
        *call->body, base::hash64(call->account->name + "\n" + call->request.method + "\n" + call->request.path)));
    call->claim = handle;
    m_claimCoordinator.acquire(
        handle, call->deadline, [this, call](const ClaimOutcome& outcome) { onClaimDecided(call, outcome); });
}

void CallPath::onClaimDecided(const CallPtr& call, const ClaimOutcome& outcome)
{
    if (outcome.decision == ClaimDecision::Run) {
        if (!call->ended)
            return dispatch(call);
        return m_claimCoordinator.release(*call->claim);
    }
    call->claim.reset();
    wire::CallAnswer answer;
    answer.headers = { header("Content-Type", "application/json") };
    switch (outcome.decision) {
    case ClaimDecision::Replay:
        ++m_counts.replayed;
        answer = outcome.answer;
        answer.headers.push_back(header(REPLAYED_HEADER, "true"));
        break;
    case ClaimDecision::Conflict:
        answer.outcome = Outcome::NOT_RUN;
        answer.status = 422;
        answer.body = errorBody(
            "conflict", "the Idempotency-Key was used for another request", "use a new key for a new request");
        break;
    case ClaimDecision::NotRun:
        answer.outcome = Outcome::NOT_RUN;
        answer.status = STATUS_UNAVAILABLE;
        answer.body = errorBody("unavailable", "the request could not be claimed", "send it again with the same key");
        break;
    default:
        answer.outcome = Outcome::UNKNOWN;
        answer.status = STATUS_TIMEOUT;
        answer.body = errorBody(
            "unavailable", "whether an earlier attempt ran cannot be told now", "send it again with the same key");
        break;
    }
    finish(call, std::move(answer));
}

// ---- calls that crash their targets ----

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
    answer.headers = { header("Content-Type", "application/json") };
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

// ---- attempts ----

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
    const auto& leaving = m_notices.leaving();
    auto unreachable = unreachableTargets();
    unreachable.insert(leaving.begin(), leaving.end());
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
    // call. A target that leaves is no choice: it would stop while it runs the call.
    if (!placement && !call->triedTargets.empty())
        placement = m_balancer.choose(targets, service.name, stable, unreachable, now, placementRequest);
    if (!placement && !avoid.empty())
        placement = m_balancer.choose(targets, service.name, stable, leaving, now, placementRequest);
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
        return finish(call, std::move(answer));
    }
    call->triedTargets.insert(placement->target.target);
    call->target = placement->target.target;
    send(call, *placement);
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
    request.priority = call->account ? call->account->priority : call->route->priority;
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
        answer.outcome == Outcome::RAN ? answer.body.size() : 0, Millis(answer.retryAfterMs) };
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
    record.failed = answer.outcome != Outcome::RAN || answer.status >= MIN_FAILURE_STATUS;
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

// ---- requests of other nodes ----

void CallPath::onCall(const void* origin, wire::CallRequest request, std::function<void()> onGranted, CallCallback done)
{
    auto key = std::make_pair(origin, request.id);
    // 0, which is no valid id, until m_localTargets.call() has returned the id.
    auto id = std::make_shared<uint64_t>(0);
    auto ended = std::make_shared<bool>(false);
    auto onDone = [this, key, id, ended, done = std::move(done)](wire::CallAnswer answer) {
        *ended = true;
        // After the link has closed, a new link may reuse the origin's address and the call id; leave its entry alone.
        auto it = m_remoteCalls.find(key);
        if (it != m_remoteCalls.end() && it->second == *id)
            m_remoteCalls.erase(it);
        done(std::move(answer));
    };
    *id = m_localTargets.call(std::move(request), nullptr, std::move(onGranted), onDone);
    if (!*ended)
        m_remoteCalls[key] = *id;
}

void CallPath::onBody(const void* origin, int64_t id, std::string_view part)
{
    auto it = m_remoteCalls.find({ origin, id });
    if (it != m_remoteCalls.end())
        m_localTargets.receiveBodyPart(it->second, part);
}

// Cancels the calls of a closed link whose bodies are incomplete. Calls with a complete body continue, since their
// target may have begun them; their answers are discarded.
void CallPath::onOriginClosed(const void* origin)
{
    auto it = m_remoteCalls.lower_bound({ origin, std::numeric_limits<int64_t>::min() });
    while (it != m_remoteCalls.end() && it->first.first == origin) {
        m_localTargets.cancelIncomplete(it->second);
        it = m_remoteCalls.erase(it);
    }
}

void CallPath::onCancel(const void* origin, int64_t id)
{
    auto it = m_remoteCalls.find({ origin, id });
    if (it == m_remoteCalls.end())
        return;
    m_localTargets.cancel(it->second);
    m_remoteCalls.erase(it);
}

wire::ClaimAnswer CallPath::onClaim(const wire::ClaimRequest& request)
{
    return m_claimCoordinator.handleRequest(request, m_view);
}

// ---- periodic work ----

void CallPath::sweep()
{
    auto now = m_clock.now();
    m_peers.sweep(now);
    m_claimCoordinator.sweep(now);
    m_localTargets.sweep();
    if (m_onDrained && m_serverDrained && m_openCalls == 0 && m_localTargets.callCount() == 0) {
        auto done = std::move(m_onDrained);
        m_onDrained = nullptr;
        done();
    }
}

void CallPath::reportEvidence()
{
    wire::Report report;
    report.evidence = m_evidence.takeCounts();
    evaluateMoves(report.evidence, report);
    if (!report.evidence.empty() || !report.alarms.empty())
        m_reportSink(std::move(report));
}

// Stops sending calls to a candidate version as soon as this node's own evidence proves it bad, without waiting for the
// leader, and raises an alarm.
void CallPath::evaluateMoves(const std::vector<wire::EvidenceCell>& cells, wire::Report& report)
{
    for (auto& [service, watch] : m_moveWatches) {
        if (!watch.aggregator || m_versionSplitter.isSuppressed(watch.moveId))
            continue;
        std::vector<wire::EvidenceCell> own;
        for (const auto& it : cells) {
            if (it.serviceName == service)
                own.push_back(it);
        }
        watch.aggregator->add(own);
        watch.aggregator->closeBatch();
        auto summary = watch.aggregator->summary();
        if (!summary.isBad)
            continue;
        m_versionSplitter.suppress(watch.moveId);
        wire::Alarm alarm;
        alarm.moveId = watch.moveId;
        alarm.node = m_settings.id;
        alarm.reason = summary.reason;
        report.alarms.push_back(alarm);
        base::logWarn("move.suppressed", { { "move", watch.moveId }, { "reason", summary.reason } });
    }
}

void CallPath::drain(std::function<void()> done)
{
    m_onDrained = std::move(done);
    m_lastDeadline = m_clock.now() + std::max(Millis(0), m_settings.stopTimeout - ANSWER_MARGIN);
    m_localTargets.setLastDeadline(*m_lastDeadline);
    m_server->drain(m_settings.drainGrace, [this] {
        m_serverDrained = true;
        m_localTargets.startDraining();
    });
}

void CallPath::endCalls()
{
    m_isEnding = true;
    m_localTargets.endCalls();
    m_peers.endRequests("this node stops");
}

void CallPath::close()
{
    m_server->close();
    m_peers.close();
}

} // namespace pomelowind::node
