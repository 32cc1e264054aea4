#include "standins/Target.h"

#include "pomelowind/base/Errors.h"
#include "pomelowind/base/Log.h"

#include <cmath>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace pomelowind::standins {

namespace {

    using base::Millis;

    constexpr auto ANNOUNCE_PERIOD = Millis(700);
    constexpr auto ANNOUNCE_TIMEOUT = Millis(500);
    constexpr auto DRAIN_CHECK_PERIOD = Millis(20);
    // Nodes send calls until they have received the draining state.
    constexpr auto MIN_DRAIN_TIME = Millis(400);
    constexpr double COLD_START_SLOWDOWN = 3;
    constexpr size_t MAX_DOWNSTREAM_CONNECTIONS = 120;
    constexpr char RUNS_PATH[] = "/__runs/";
    constexpr char LONG_ANSWERS_PATH[] = "/get";
    constexpr int64_t MAX_ANSWER_BYTES = 64 * 1024 * 1024;
    constexpr double LEAK_DOUBLING_PERIOD_MS = 4000;

    base::Instant steadyNow() { return std::chrono::steady_clock::now(); }

    int64_t wallMs() { return base::SystemClock().wallMs(); }

    // Runs are counted by this key: the idempotency key, or the request id of a request without one.
    std::string requestKeyOf(const http::HttpRequest& request)
    {
        auto key = http::findHeader(request.headers, "Idempotency-Key");
        return std::string(key.empty() ? http::findHeader(request.headers, "X-Request-Id") : key);
    }

    InjectedFault readInjectedFault(base::SettingsReader& reader)
    {
        InjectedFault out;
        out.kind = reader.text("bad_kind", "none");
        out.pathPrefix = reader.text("bad_route", "");
        out.probability = reader.real("bad_rate", out.probability, 0, 1);
        out.slowdown = reader.real("bad_factor", out.slowdown, 0.01, 1000);
        out.startsAfter = reader.millis("bad_after_ms", out.startsAfter, Millis(0), Millis(3600000));
        out.host = reader.text("bad_host", "");
        out.onlyAboveRunning = static_cast<int>(reader.integer("bad_above_running", 0, 0, 10000));
        return out;
    }

}

TargetSettings readTargetSettings(const std::string& file)
{
    auto reader = base::SettingsReader::fromFile(file);
    TargetSettings out;
    out.id = reader.text("id");
    out.serviceName = reader.text("service");
    out.version = reader.text("version");
    out.address = reader.address("address");
    out.announce = reader.address("announce");
    out.metricsAddress = reader.address("metrics_address");
    out.slots = static_cast<int>(reader.integer("slots", out.slots, 1, 10000));
    out.maxRate = reader.text("max_rate", "");
    out.serviceTime = reader.millis("service_ms", out.serviceTime, Millis(0), Millis(60000));
    out.coldStart = reader.millis("cold_start_ms", out.coldStart, Millis(0), Millis(600000));
    out.answerBytes = static_cast<size_t>(reader.integer("answer_bytes", 0, 0, MAX_ANSWER_BYTES));
    out.exponential = reader.flag("exponential", true);
    out.runsLogFile = reader.text("runs_log", "");
    out.getsLogFile = reader.text("gets_log", "");
    out.fault = readInjectedFault(reader);
    if (reader.has("downstream_address")) {
        out.downstreamAddress = reader.address("downstream_address");
        out.downstreamHost = reader.text("downstream_host");
        out.downstreamPath = reader.text("downstream_path");
    }
    out.logLevel = reader.text("log_level", "warn");
    reader.finish();
    return out;
}

struct Target::RunningCall {
    http::HttpRequest request;
    std::shared_ptr<http::HttpReply> reply;
    std::unique_ptr<boost::asio::steady_timer> timer;
    bool isAffected { false }; // by the injected fault
    bool cancelled { false };
    int downstreamStatus { 0 };
};

Target::Target(boost::asio::io_context& io, TargetSettings settings, uint64_t seed)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_random(seed)
    , m_started(steadyNow())
    , m_incarnation(wallMs())
    , m_announcer(http::makeHttpClient(io, m_settings.announce, { 2 }))
    , m_server(http::makeHttpServer(io, m_settings.address, {}, *this))
    , m_announceTimer(io)
    , m_drainTimer(io)
{
    if (!m_settings.downstreamHost.empty())
        m_downstream = http::makeHttpClient(io, m_settings.downstreamAddress, { MAX_DOWNSTREAM_CONNECTIONS });
    if (!m_settings.runsLogFile.empty())
        m_runsLog.open(m_settings.runsLogFile, std::ios::app);
    if (!m_settings.getsLogFile.empty())
        m_getsLog.open(m_settings.getsLogFile, std::ios::app);
}

// ---- announcements ----

void Target::startAnnouncing()
{
    announce(m_state, [this] { scheduleAnnouncement(); });
}

void Target::scheduleAnnouncement()
{
    m_announceTimer.expires_after(ANNOUNCE_PERIOD);
    m_announceTimer.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            startAnnouncing();
    });
}

void Target::announce(const std::string& state, std::function<void()> done)
{
    nlohmann::json body { { "target", m_settings.id }, { "service", m_settings.serviceName },
        { "version", m_settings.version }, { "address", m_settings.address.text() }, { "slots", m_settings.slots },
        { "incarnation", m_incarnation }, { "sequence", ++m_sequence }, { "state", state } };
    http::HttpRequest request { "POST", "/v1/announce", { { "Host", "node" }, { "Content-Type", "application/json" } },
        body.dump() };
    m_announcer->request(std::move(request), ANNOUNCE_TIMEOUT, [done](const http::ExchangeResult&) { done(); });
}

void Target::drain(std::function<void()> done)
{
    m_state = "leaving";
    m_announceTimer.cancel();
    announce(m_state, [this, done] {
        m_drainTimer.expires_after(MIN_DRAIN_TIME);
        m_drainTimer.async_wait([this, done](boost::system::error_code) { waitUntilIdle(done); });
    });
}

void Target::waitUntilIdle(std::function<void()> done)
{
    if (!m_running)
        return announce("gone", done);
    m_drainTimer.expires_after(DRAIN_CHECK_PERIOD);
    m_drainTimer.async_wait([this, done](boost::system::error_code) { waitUntilIdle(done); });
}

// ---- calls ----

// Adds what the target says about itself to a response.
http::HttpResponse Target::withNotice(http::HttpResponse response) const
{
    if (!m_settings.maxRate.empty())
        response.headers.push_back({ "X-Pomelowind-Max-Rate", m_settings.maxRate });
    if (m_state == "leaving")
        response.headers.push_back({ "X-Pomelowind-Leaving", "1" });
    return response;
}

http::HttpResponse Target::runCountOf(const std::string& path) const
{
    auto it = m_runCountsByKey.find(path.substr(sizeof RUNS_PATH - 1));
    return { 200, {}, std::to_string(it == m_runCountsByKey.end() ? 0 : it->second) };
}

bool Target::isFaultActive(const http::HttpRequest& request) const
{
    const auto& fault = m_settings.fault;
    bool hasStarted = steadyNow() - m_started >= fault.startsAfter;
    bool matchesPath
        = fault.pathPrefix.empty() || request.path.compare(0, fault.pathPrefix.size(), fault.pathPrefix) == 0;
    bool matchesHost = fault.host.empty() || http::findHeader(request.headers, "Host") == fault.host;
    return fault.kind != "none" && hasStarted && matchesPath && matchesHost && m_running > fault.onlyAboveRunning;
}

base::Millis Target::serviceTime(const http::HttpRequest& request)
{
    double ms = static_cast<double>(m_settings.serviceTime.count());
    if (m_settings.exponential)
        ms *= -std::log(1 - m_random.uniformReal());
    auto age = std::chrono::duration<double, std::milli>(steadyNow() - m_started).count();
    if (age < static_cast<double>(m_settings.coldStart.count()))
        ms *= COLD_START_SLOWDOWN;
    if (isFaultActive(request) && m_settings.fault.kind == "slow")
        ms *= m_settings.fault.slowdown;
    if (isFaultActive(request) && m_settings.fault.kind == "leak")
        ms *= std::exp2((age - static_cast<double>(m_settings.fault.startsAfter.count())) / LEAK_DOUBLING_PERIOD_MS);
    return Millis(std::lround(ms));
}

void Target::handle(http::HttpRequest request, std::shared_ptr<http::HttpReply> reply)
{
    if (request.path.compare(0, sizeof RUNS_PATH - 1, RUNS_PATH) == 0)
        return reply->send(runCountOf(request.path));
    if (request.path == "/health")
        return reply->send({ 200, {}, "ok" });
    if (m_running >= m_settings.slots) {
        // Sheds load before any work is done; the header states that the call did not run.
        return reply->send(withNotice({ 503, { { "X-Pomelowind-Outcome", "not-run" } }, "no free slot" }));
    }
    auto call = std::make_shared<RunningCall>();
    ++m_running;
    call->isAffected = isFaultActive(request) && m_random.bernoulli(m_settings.fault.probability);
    call->request = std::move(request);
    call->reply = std::move(reply);
    call->reply->onCancel([call] { call->cancelled = true; });
    start(call);
}

void Target::start(const std::shared_ptr<RunningCall>& call)
{
    if (call->isAffected && m_settings.fault.kind == "crash") {
        base::logWarn("target.crashes", { { "id", m_settings.id } });
        std::_Exit(EXIT_FAILURE);
    }
    recordRun(call->request);
    call->timer = std::make_unique<boost::asio::steady_timer>(m_io, serviceTime(call->request));
    call->timer->async_wait([this, call](boost::system::error_code) {
        if (m_downstream && !call->cancelled)
            return callDownstream(call);
        finish(call);
    });
}

// Passes on the deadline, the call depth and the retry budget, as docs/operate/targets.md requires of targets.
void Target::callDownstream(const std::shared_ptr<RunningCall>& call)
{
    http::HttpRequest request;
    request.method = "GET";
    request.path = m_settings.downstreamPath;
    request.headers = { { "Host", m_settings.downstreamHost } };
    for (const char* name :
        { "X-Pomelowind-Deadline-Ms", "X-Pomelowind-Depth", "X-Pomelowind-Retries-Left", "X-Request-Id" }) {
        auto value = http::findHeader(call->request.headers, name);
        if (!value.empty())
            request.headers.push_back({ name, std::string(value) });
    }
    constexpr Millis DOWNSTREAM_TIMEOUT(5000);
    m_downstream->request(std::move(request), DOWNSTREAM_TIMEOUT, [this, call](const http::ExchangeResult& result) {
        call->downstreamStatus = result.end == http::ExchangeEnd::Answered ? result.response.status : 502;
        finish(call);
    });
}

void Target::recordRun(const http::HttpRequest& request)
{
    bool isGet = request.method == "GET";
    std::string key = requestKeyOf(request);
    if (!isGet)
        ++m_runCountsByKey[key];
    auto& log = isGet ? m_getsLog : m_runsLog;
    if (log.is_open())
        log << wallMs() << ' ' << key << ' ' << m_settings.id << ' ' << m_settings.version << std::endl;
}

void Target::finish(const std::shared_ptr<RunningCall>& call)
{
    --m_running;
    std::string body
        = m_settings.version + "|" + call->request.path + "|" + requestKeyOf(call->request) + "|" + call->request.body;
    if (call->request.path.starts_with(LONG_ANSWERS_PATH) && body.size() < m_settings.answerBytes)
        body.resize(m_settings.answerBytes, '.');
    auto response = withNotice({ 200, { { "Content-Type", "text/plain" } }, body });
    const auto& kind = m_settings.fault.kind;
    bool isFailed = call->isAffected && (kind == "fail" || kind == "account" || kind == "load");
    if (isFailed || call->downstreamStatus >= 500)
        response.status = 500;
    if (call->isAffected && kind == "cut") {
        size_t fullSize = body.size();
        response.body.resize(fullSize / 2);
        return call->reply->sendTruncated(std::move(response), fullSize);
    }
    call->reply->send(std::move(response));
}

} // namespace pomelowind::standins
