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
    constexpr auto LEAVE_CHECK = Millis(20);
    // Nodes send calls until they have received the draining state.
    constexpr auto LEAVE_LEAST = Millis(400);
    constexpr double COLD_FACTOR = 3;
    constexpr size_t CONNECTIONS = 120;
    constexpr char RUNS_PATH[] = "/__runs/";
    constexpr double LEAK_DOUBLING_MS = 4000;

    base::Instant steadyNow() { return std::chrono::steady_clock::now(); }

    int64_t wallMs() { return base::SystemClock().wallMs(); }

    std::string keyOf(const http::HttpRequest& request)
    {
        auto key = http::findHeader(request.headers, "Idempotency-Key");
        return std::string(key.empty() ? http::findHeader(request.headers, "X-Request-Id") : key);
    }

    Badness readBadness(base::SettingsReader& reader)
    {
        Badness out;
        out.kind = reader.text("bad_kind", "none");
        out.route = reader.text("bad_route", "");
        out.rate = reader.real("bad_rate", out.rate, 0, 1);
        out.factor = reader.real("bad_factor", out.factor, 0.01, 1000);
        out.after = reader.millis("bad_after_ms", out.after, Millis(0), Millis(3600000));
        out.host = reader.text("bad_host", "");
        out.aboveRunning = static_cast<int>(reader.integer("bad_above_running", 0, 0, 10000));
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
    out.serviceTime = reader.millis("service_ms", out.serviceTime, Millis(0), Millis(60000));
    out.coldStart = reader.millis("cold_start_ms", out.coldStart, Millis(0), Millis(600000));
    out.exponential = reader.flag("exponential", true);
    out.runsLog = reader.text("runs_log", "");
    out.bad = readBadness(reader);
    if (reader.has("downstream_address")) {
        out.downstreamAddress = reader.address("downstream_address");
        out.downstreamHost = reader.text("downstream_host");
        out.downstreamPath = reader.text("downstream_path");
    }
    out.logLevel = reader.text("log_level", "warn");
    reader.finish();
    return out;
}

struct Target::Run {
    http::HttpRequest request;
    std::shared_ptr<http::HttpReply> reply;
    std::unique_ptr<boost::asio::steady_timer> timer;
    bool bad { false };
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
    , m_leaveTimer(io)
{
    if (!m_settings.downstreamHost.empty())
        m_downstream = http::makeHttpClient(io, m_settings.downstreamAddress, { CONNECTIONS });
    if (!m_settings.runsLog.empty())
        m_log.open(m_settings.runsLog, std::ios::app);
}

// ---- announcements ----

void Target::announceNow()
{
    announce(m_state, [this] { announceLater(); });
}

void Target::announceLater()
{
    m_announceTimer.expires_after(ANNOUNCE_PERIOD);
    m_announceTimer.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            announceNow();
    });
}

void Target::announce(const std::string& state, std::function<void()> done)
{
    nlohmann::json body { { "target", m_settings.id }, { "service", m_settings.serviceName },
        { "version", m_settings.version }, { "address", m_settings.address.text() }, { "slots", m_settings.slots },
        { "incarnation", m_incarnation }, { "state", state } };
    http::HttpRequest request { "POST", "/v1/announce", { { "Host", "node" }, { "Content-Type", "application/json" } },
        body.dump() };
    m_announcer->request(std::move(request), ANNOUNCE_TIMEOUT, [done](const http::ExchangeResult&) { done(); });
}

void Target::leave(std::function<void()> done)
{
    m_state = "leaving";
    m_announceTimer.cancel();
    announce(m_state, [this, done] {
        m_leaveTimer.expires_after(LEAVE_LEAST);
        m_leaveTimer.async_wait([this, done](boost::system::error_code) { waitIdle(done); });
    });
}

void Target::waitIdle(std::function<void()> done)
{
    if (!m_running)
        return announce("gone", done);
    m_leaveTimer.expires_after(LEAVE_CHECK);
    m_leaveTimer.async_wait([this, done](boost::system::error_code) { waitIdle(done); });
}

// ---- calls ----

http::HttpResponse Target::runsOf(const std::string& path) const
{
    auto it = m_runs.find(path.substr(sizeof RUNS_PATH - 1));
    return { 200, {}, std::to_string(it == m_runs.end() ? 0 : it->second) };
}

bool Target::isBad(const http::HttpRequest& request) const
{
    const auto& bad = m_settings.bad;
    bool begun = steadyNow() - m_started >= bad.after;
    bool onRoute = bad.route.empty() || request.path.compare(0, bad.route.size(), bad.route) == 0;
    bool onHost = bad.host.empty() || http::findHeader(request.headers, "Host") == bad.host;
    return bad.kind != "none" && begun && onRoute && onHost && m_running > bad.aboveRunning;
}

base::Millis Target::serviceTime(const http::HttpRequest& request)
{
    double ms = static_cast<double>(m_settings.serviceTime.count());
    if (m_settings.exponential)
        ms *= -std::log(1 - m_random.unit());
    auto age = std::chrono::duration<double, std::milli>(steadyNow() - m_started).count();
    if (age < static_cast<double>(m_settings.coldStart.count()))
        ms *= COLD_FACTOR;
    if (isBad(request) && m_settings.bad.kind == "slow")
        ms *= m_settings.bad.factor;
    if (isBad(request) && m_settings.bad.kind == "leak")
        ms *= std::exp2((age - static_cast<double>(m_settings.bad.after.count())) / LEAK_DOUBLING_MS);
    return Millis(std::lround(ms));
}

void Target::handle(http::HttpRequest request, std::shared_ptr<http::HttpReply> reply)
{
    if (request.path.compare(0, sizeof RUNS_PATH - 1, RUNS_PATH) == 0)
        return reply->send(runsOf(request.path));
    if (request.path == "/health")
        return reply->send({ 200, {}, "ok" });
    if (m_running >= m_settings.slots) {
        // Sheds load before any work is done; the header states that the call did not run.
        return reply->send({ 503, { { "X-Pomelowind-Outcome", "not-run" } }, "no free slot" });
    }
    auto run = std::make_shared<Run>();
    ++m_running;
    run->bad = isBad(request) && m_random.chance(m_settings.bad.rate);
    run->request = std::move(request);
    run->reply = std::move(reply);
    run->reply->onCancel([run] { run->cancelled = true; });
    start(run);
}

void Target::start(const std::shared_ptr<Run>& run)
{
    if (run->bad && m_settings.bad.kind == "crash") {
        base::logWarn("target.crashes", { { "id", m_settings.id } });
        std::_Exit(EXIT_FAILURE);
    }
    noteRun(run->request);
    run->timer = std::make_unique<boost::asio::steady_timer>(m_io, serviceTime(run->request));
    run->timer->async_wait([this, run](boost::system::error_code) {
        if (m_downstream && !run->cancelled)
            return callDownstream(run);
        finish(run);
    });
}

// Passes on the deadline, the call depth and the retry budget, as docs/operate/targets.md requires of targets.
void Target::callDownstream(const std::shared_ptr<Run>& run)
{
    http::HttpRequest request;
    request.method = "GET";
    request.path = m_settings.downstreamPath;
    request.headers = { { "Host", m_settings.downstreamHost } };
    for (const char* name :
        { "X-Pomelowind-Deadline-Ms", "X-Pomelowind-Depth", "X-Pomelowind-Retries-Left", "X-Request-Id" }) {
        auto value = http::findHeader(run->request.headers, name);
        if (!value.empty())
            request.headers.push_back({ name, std::string(value) });
    }
    constexpr Millis DOWNSTREAM_BUDGET(5000);
    m_downstream->request(std::move(request), DOWNSTREAM_BUDGET, [this, run](const http::ExchangeResult& result) {
        run->downstreamStatus = result.end == http::ExchangeEnd::Answered ? result.response.status : 502;
        finish(run);
    });
}

void Target::noteRun(const http::HttpRequest& request)
{
    if (request.method == "GET")
        return;
    std::string key = keyOf(request);
    ++m_runs[key];
    if (m_log.is_open())
        m_log << wallMs() << ' ' << key << ' ' << m_settings.id << ' ' << m_settings.version << std::endl;
}

void Target::finish(const std::shared_ptr<Run>& run)
{
    --m_running;
    std::string body
        = m_settings.version + "|" + run->request.path + "|" + keyOf(run->request) + "|" + run->request.body;
    http::HttpResponse response { 200, { { "Content-Type", "text/plain" } }, body };
    const auto& kind = m_settings.bad.kind;
    bool fails = run->bad && (kind == "fail" || kind == "account" || kind == "load");
    if (fails || run->downstreamStatus >= 500)
        response.status = 500;
    if (run->bad && kind == "cut") {
        size_t whole = body.size();
        response.body.resize(whole / 2);
        return run->reply->sendCut(std::move(response), whole);
    }
    run->reply->send(std::move(response));
}

} // namespace pomelowind::standins
