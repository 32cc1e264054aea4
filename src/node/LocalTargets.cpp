#include "LocalTargets.h"

#include "pomelowind/base/Log.h"

#include <utility>

namespace pomelowind::node {

using targets::GateVerdict;
using wire::Outcome;

namespace {

    constexpr int MIN_FAILURE_STATUS = 500;
    constexpr double MICROS_PER_MS = 1000;
    // Parts of a granted body follow each other closely. After this long without one, the link or the other node has
    // failed, and the call's queue slot is freed for other calls.
    constexpr auto BODY_STALL_TIMEOUT = base::Millis(1000);
    // Period of the log lines about a target that names a limit or leaves.
    constexpr auto LOAD_LOG_PERIOD = base::Millis(1000);

    uint64_t fingerprintOf(const wire::CallRequest& request, const BodyPtr& body)
    {
        std::string_view host;
        for (const auto& it : request.headers) {
            if (http::equalNames(it.name, "Host"))
                host = it.value;
        }
        return targets::callFingerprint(request.method, host, request.path, request.callerService,
            body ? std::string_view(*body) : std::string_view());
    }

}

LocalTargets::LocalTargets(boost::asio::io_context& io, const NodeSettings& settings, const CallProtocol& protocol,
    const base::Clock& clock, base::MemoryBudgetPtr bodyMemory)
    : m_io(io)
    , m_settings(settings)
    , m_protocol(protocol)
    , m_clock(clock)
    , m_bodyMemory(std::move(bodyMemory))
{
}

void LocalTargets::update(const std::vector<Announcement>& targets)
{
    std::map<std::string, std::shared_ptr<Target>> next;
    for (const auto& it : targets) {
        auto found = m_targets.find(it.target);
        bool isUnchanged = found != m_targets.end() && found->second->announcement.incarnation == it.incarnation
            && found->second->announcement.address == it.address;
        auto target = isUnchanged ? found->second : std::make_shared<Target>();
        if (!isUnchanged) {
            targets::GateOptions options;
            options.slots = it.slots;
            options.coldStart = it.coldLeft.value_or(m_settings.coldStart);
            options.coldStartRatio = static_cast<double>(m_settings.coldStartPercent) / 100;
            options.enforceLimits = m_settings.limitsEnabled;
            target->gate = std::make_unique<targets::Gate>(options, m_clock.now());
            http::HttpClientOptions client;
            client.maxConnections = static_cast<size_t>(m_settings.targetConnections);
            client.echoHeader = m_protocol.echoHeader();
            client.refusalMark = m_protocol.refusalMark();
            client.bodyMemory = m_bodyMemory;
            target->client = http::makeHttpClient(m_io, it.address, client);
        }
        target->announcement = it;
        target->gate->setSlots(it.slots);
        if (it.state == wire::TargetState::LEAVING && !target->isDraining)
            drain(*target);
        next[it.target] = target;
    }
    // Refuses calls queued for a target that is gone; running ones keep their target until they end.
    for (auto& [name, target] : m_targets) {
        auto found = next.find(name);
        if (found != next.end() && found->second == target)
            continue;
        if (!target->isDraining)
            onCrashed(*target, target->crashDetector.onReplaced(m_clock.now()), "replaced");
        drain(*target);
        target->client->close();
    }
    m_targets = std::move(next);
}

void LocalTargets::addLoadReport(const Call& call, wire::CallAnswer& answer) const
{
    auto it = m_targets.find(call.target);
    if (it == m_targets.end())
        return;
    answer.typicalMicros = static_cast<int64_t>(it->second->gate->typicalMs(call.request.account) * MICROS_PER_MS);
    answer.inFlight = it->second->gate->running();
    answer.queued = it->second->gate->queued();
    answer.cold = it->second->gate->isCold(m_clock.now());
    if (auto rate = it->second->acceptedRate.callsPerSecond())
        answer.__set_maxCallsPerSecond(*rate);
    answer.leaving = it->second->notice.leaving;
    if (answer.outcome == Outcome::NOT_RUN)
        answer.retryAfterMs = static_cast<int32_t>(it->second->gate->retryAfter(m_clock.now()).count());
}

uint64_t LocalTargets::call(wire::CallRequest request, BodyPtr body, std::function<void()> onGranted, CallCallback done)
{
    uint64_t id = m_nextId++;
    auto now = m_clock.now();
    std::string name = request.target;
    Call call;
    call.target = name;
    call.deadline = now + base::Millis(request.budgetMs);
    call.request = std::move(request);
    call.done = std::move(done);
    const auto& turn = call.request.clientAccount.empty() ? call.request.account : call.request.clientAccount;
    targets::GateCall gateCall { id, turn, call.request.priority, call.deadline, {}, call.request.account };
    gateCall.typicalServiceTime = base::Millis(call.request.usualMs);
    gateCall.hasClientAccount = !call.request.clientAccount.empty();
    gateCall.nested = call.request.nested;
    gateCall.mayQueue = call.request.mayWait;
    if (call.request.mostWaitMs > 0)
        gateCall.maxQueueWait = base::Millis(call.request.mostWaitMs);
    if (call.request.objectiveMs)
        call.objective = now + base::Millis(call.request.objectiveMs);
    gateCall.objective = call.objective;
    gateCall.bodyArrived = call.request.laterBytes <= 0;
    auto heardRate
        = call.request.__isset.maxCallsPerSecond ? std::optional(call.request.maxCallsPerSecond) : std::nullopt;
    if (!body && gateCall.bodyArrived)
        body = std::make_shared<const std::string>(std::move(call.request.body));
    call.body = std::move(body);
    call.onGranted = std::move(onGranted);
    bool bodyAdmitted = admitBody(call);
    m_calls.emplace(id, std::move(call));
    if (!bodyAdmitted) {
        refuse(id, "no room for the body");
        return id;
    }
    auto it = m_targets.find(name);
    if (it == m_targets.end()) {
        refuse(id, "the target is not on this host");
        return id;
    }
    if (m_lastDeadline && gateCall.deadline > *m_lastDeadline) {
        refuse(id, "the target's node stops before the call has to end");
        return id;
    }
    if (heardRate && it->second->acceptedRate.onHint(*heardRate))
        it->second->gate->setMaxRate(it->second->acceptedRate.callsPerSecond(), now);
    std::optional<uint64_t> shed;
    auto verdict = it->second->gate->admit(gateCall, now, shed);
    if (shed)
        refuse(*shed, "shed for a call of higher priority");
    if (verdict == GateVerdict::Run)
        run(id);
    else if (verdict == GateVerdict::Overloaded)
        refuse(id, "the target is overloaded");
    else if (verdict == GateVerdict::Draining)
        refuse(id, "the target is leaving");
    else if (!gateCall.bodyArrived)
        m_bodyFlowControl.enqueue(id, static_cast<size_t>(m_calls.at(id).request.laterBytes), laneOf(m_calls.at(id)));
    grantBodies();
    return id;
}

targets::BodyFlowControl::Lane LocalTargets::laneOf(const Call& call) const
{
    bool isLate = call.objective && *call.objective <= m_clock.now() + base::Millis(call.request.usualMs);
    return isLate ? targets::BodyFlowControl::Lane::Late : targets::BodyFlowControl::Lane::InTime;
}

// Reserves memory for a body that another node will send. Returns false when there is not enough memory, or when the
// body cannot arrive early enough for its call to run.
bool LocalTargets::admitBody(Call& call)
{
    if (call.request.laterBytes <= 0)
        return true;
    auto now = m_clock.now();
    auto bytes = static_cast<size_t>(call.request.laterBytes);
    auto lane = laneOf(call);
    auto until = call.objective && lane == targets::BodyFlowControl::Lane::InTime ? *call.objective : call.deadline;
    auto left = std::chrono::duration_cast<base::Millis>(until - now) - base::Millis(call.request.usualMs);
    call.bodyReservation = base::MemoryReservation(m_bodyMemory);
    return m_bodyFlowControl.canArriveInTime(bytes, left, lane) && call.bodyReservation.growTo(bytes);
}

void LocalTargets::grantBodies()
{
    auto now = m_clock.now();
    for (uint64_t id : m_bodyFlowControl.grant(now)) {
        auto it = m_calls.find(id);
        if (it == m_calls.end())
            continue;
        it->second.bodyDeadline = now + BODY_STALL_TIMEOUT;
        if (auto onGranted = std::exchange(it->second.onGranted, nullptr))
            onGranted();
    }
}

void LocalTargets::receiveBodyPart(uint64_t id, std::string_view part)
{
    auto it = m_calls.find(id);
    if (it == m_calls.end() || it->second.bodyDeadline == base::Instant())
        return;
    auto& call = it->second;
    auto totalBytes = static_cast<size_t>(call.request.laterBytes);
    auto& body = call.request.body;
    if (part.size() > totalBytes - body.size())
        throw base::UserError(base::ErrorKind::Protocol, "a call body is longer than its announced length",
            "run the same release on all hosts");
    body.reserve(totalBytes);
    body.append(part);
    auto now = m_clock.now();
    m_bodyFlowControl.onBytesReceived(id, part.size(), now);
    call.bodyDeadline = now + BODY_STALL_TIMEOUT;
    if (body.size() < totalBytes)
        return grantBodies();
    call.bodyDeadline = base::Instant();
    call.body = std::make_shared<const std::string>(std::move(body));
    auto target = m_targets.find(call.target);
    if (target != m_targets.end())
        applyGateStep(*target->second, target->second->gate->onBodyArrived(id, now));
    grantBodies();
}

void LocalTargets::cancelIncomplete(uint64_t id)
{
    auto it = m_calls.find(id);
    if (it != m_calls.end() && it->second.request.laterBytes > 0 && !it->second.body && !it->second.running)
        cancel(id);
}

void LocalTargets::refuse(uint64_t id, const std::string& reason)
{
    auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    Call call = std::move(it->second);
    m_calls.erase(it);
    if (auto target = m_targets.find(call.target); target != m_targets.end())
        ++target->second->load.refused;
    m_bodyFlowControl.remove(id);
    wire::CallAnswer answer;
    answer.outcome = Outcome::NOT_RUN;
    answer.reason = reason;
    answer.refused = true;
    addLoadReport(call, answer);
    call.done(std::move(answer));
}

void LocalTargets::run(uint64_t id)
{
    auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    auto& call = it->second;
    call.running = true;
    m_runningCalls.begin(call.request.requestId, call.objective, call.request.priority);
    call.started = m_clock.now();
    auto left = std::max(base::Millis(1), std::chrono::duration_cast<base::Millis>(call.deadline - call.started));
    auto request = m_protocol.makeTargetRequest(call.request, left);
    request.sharedBody = call.body;
    // The closure keeps the target and its gate alive until the call has ended, even if the target is gone by then.
    auto target = m_targets.at(call.target);
    ++m_sentCalls;
    ++target->load.sent;
    target->load.nested += call.request.nested ? 1 : 0;
    call.exchange = target->client->request(std::move(request), left,
        [this, id, target, kind = call.request.account, sentAt = call.started](http::ExchangeResult result) {
            auto found = m_calls.find(id);
            std::optional<base::Millis> serviceTime;
            if (found != m_calls.end() && result.end == http::ExchangeEnd::Answered
                && result.response.status < MIN_FAILURE_STATUS)
                serviceTime = std::chrono::duration_cast<base::Millis>(m_clock.now() - found->second.started);
            if (found != m_calls.end() && !serviceTime)
                target->gate->recordElapsed(
                    kind, std::chrono::duration_cast<base::Millis>(m_clock.now() - found->second.started));
            if (found != m_calls.end())
                watchForCrash(*target, found->second, result);
            if (auto notice = m_protocol.parseTargetNotice(result))
                onNotice(*target, *notice, sentAt);
            auto step = target->gate->finished(kind, serviceTime, m_clock.now());
            onExchangeEnded(id, std::move(result));
            applyGateStep(*target, step);
        });
}

// Tells the detector how an exchange ended. A target that leaves may end connections and its process at any time.
void LocalTargets::watchForCrash(Target& target, const Call& call, const http::ExchangeResult& result)
{
    if (target.isDraining)
        return;
    auto now = m_clock.now();
    auto brokenCall = [&] {
        return targets::BrokenCall { fingerprintOf(call.request, call.body), call.request.requestId, now };
    };
    if (result.end == http::ExchangeEnd::Answered)
        target.crashDetector.onAnswered(call.started);
    else if (result.end == http::ExchangeEnd::Cancelled || result.end == http::ExchangeEnd::TimedOut)
        target.crashDetector.onCallAbandoned(brokenCall());
    else if (result.connectionLost)
        target.crashDetector.onCallBroken(brokenCall());
    else if (result.connectionRefused)
        onCrashed(target, target.crashDetector.onConnectionRefused(now), "refused");
}

void LocalTargets::onCrashed(const Target& target, const std::vector<targets::BrokenCall>& calls, const char* evidence)
{
    if (calls.empty())
        return;
    ++m_crashes;
    auto since = std::chrono::duration_cast<base::Millis>(m_clock.now() - calls.back().at);
    base::logWarn("target.crashed",
        { { "target", target.announcement.target }, { "incarnation", target.announcement.incarnation },
            { "evidence", evidence }, { "calls", calls.size() }, { "since_ms", since.count() } });
    for (const auto& it : calls)
        base::logRateLimited("target.crashed_call",
            { { "target", target.announcement.target }, { "request", it.requestId },
                { "fingerprint", static_cast<int64_t>(it.fingerprint) } });
    if (!m_onCrashed)
        return;
    wire::TargetCrash crash;
    crash.target = target.announcement.target;
    crash.incarnation = target.announcement.incarnation;
    for (const auto& it : calls)
        crash.calls.push_back(static_cast<int64_t>(it.fingerprint));
    m_onCrashed(std::move(crash));
}

void LocalTargets::onExchangeEnded(uint64_t id, http::ExchangeResult result)
{
    auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    Call call = std::move(it->second);
    m_calls.erase(it);
    m_runningCalls.end(call.request.requestId);
    if (result.end == http::ExchangeEnd::Cancelled)
        m_runningCalls.abandon(call.request.requestId, call.deadline);
    auto answer = m_protocol.parseTargetResponse(call.request, std::move(result));
    answer.runMicros = std::chrono::duration_cast<base::Micros>(m_clock.now() - call.started).count();
    addLoadReport(call, answer);
    call.done(std::move(answer));
}

void LocalTargets::applyGateStep(Target& target, const targets::GateStep& step)
{
    const char* reason = target.isDraining ? "the target is leaving" : "the deadline could not be met";
    for (uint64_t id : step.refuse)
        refuse(id, reason);
    for (uint64_t id : step.run)
        run(id);
}

void LocalTargets::cancel(uint64_t id)
{
    auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    it->second.done = [](const wire::CallAnswer&) {};
    if (it->second.running) {
        auto exchange = it->second.exchange;
        return exchange->cancel();
    }
    auto target = m_targets.find(it->second.target);
    if (target != m_targets.end())
        target->second->gate->cancel(id);
    m_bodyFlowControl.remove(id);
    m_calls.erase(id);
}

// Lets the gate follow what a response says about its target. `sentAt` is when its request was sent.
void LocalTargets::onNotice(Target& target, const targets::TargetNotice& notice, base::Instant sentAt)
{
    auto now = m_clock.now();
    if (target.acceptedRate.onResponse(notice.maxCallsPerSecond, sentAt, now))
        target.gate->setMaxRate(target.acceptedRate.callsPerSecond(), now);
    if (notice.leaving && !target.isDraining) {
        drain(target);
        if (m_onLeaving)
            m_onLeaving(target.announcement.target, target.announcement.incarnation);
    }
    if (notice == target.notice)
        return;
    base::logRateLimited("target.notice_changed",
        { { "target", target.announcement.target },
            { "max_calls_per_s", notice.maxCallsPerSecond ? std::to_string(*notice.maxCallsPerSecond) : "none" },
            { "leaving", notice.leaving ? 1 : 0 } });
    target.notice = notice;
}

double LocalTargets::maxCallsPerSecond() const
{
    double out = 0;
    for (const auto& [name, target] : m_targets)
        out += target->acceptedRate.callsPerSecond().value_or(0);
    return out;
}

// Logs the load of targets that name a limit or are leaving, so that it can be compared with what they ask for.
void LocalTargets::logLoad(base::Instant now)
{
    for (auto& [name, target] : m_targets) {
        if (now - target->load.since < LOAD_LOG_PERIOD)
            continue;
        auto maxRate = target->acceptedRate.callsPerSecond();
        if (maxRate || target->notice.leaving)
            base::logInfo("target.load",
                { { "target", name }, { "max_calls_per_s", maxRate.value_or(0) },
                    { "leaving", target->notice.leaving ? 1 : 0 }, { "sent", target->load.sent },
                    { "nested", target->load.nested }, { "refused", target->load.refused },
                    { "running", target->gate->running() }, { "queued", target->gate->queued() } });
        target->load = {};
        target->load.since = now;
    }
}

void LocalTargets::reportLongRuns(base::Instant now)
{
    for (auto& [id, call] : m_calls) {
        if (!call.running || now - call.started < call.longRunThreshold)
            continue;
        auto target = m_targets.find(call.target);
        auto elapsed = std::chrono::duration_cast<base::Millis>(now - call.started);
        if (target != m_targets.end() && target->second->gate->recordElapsed(call.request.account, elapsed))
            call.longRunThreshold = 2 * elapsed;
    }
}

void LocalTargets::refuseStalledBodies(base::Instant now)
{
    std::vector<uint64_t> stalled;
    for (const auto& [id, call] : m_calls) {
        if (call.bodyDeadline != base::Instant() && call.bodyDeadline <= now)
            stalled.push_back(id);
    }
    for (uint64_t id : stalled) {
        auto target = m_targets.find(m_calls.at(id).target);
        if (target != m_targets.end())
            target->second->gate->cancel(id);
        refuse(id, "the body did not arrive");
    }
}

void LocalTargets::sweep()
{
    logLoad(m_clock.now());
    reportLongRuns(m_clock.now());
    refuseStalledBodies(m_clock.now());
    grantBodies();
    auto targets = m_targets;
    for (auto& [name, target] : targets)
        applyGateStep(*target, target->gate->sweep(m_clock.now()));
}

// Lets running calls end; refuses queued and new ones, so that their callers can use other targets.
void LocalTargets::drain(Target& target)
{
    target.isDraining = true;
    applyGateStep(target, target.gate->startDraining());
}

void LocalTargets::startDraining()
{
    auto targets = m_targets;
    for (auto& [name, target] : targets)
        drain(*target);
}

void LocalTargets::endCalls()
{
    startDraining();
    std::vector<std::shared_ptr<http::Exchange>> running;
    for (const auto& [id, call] : m_calls) {
        if (call.exchange)
            running.push_back(call.exchange);
    }
    for (const auto& it : running)
        it->cancel();
}

} // namespace pomelowind::node
