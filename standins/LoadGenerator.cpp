#include "standins/LoadGenerator.h"

#include "pomelowind/base/Hash.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <iostream>

namespace pomelowind::standins {

namespace {

    using base::Instant;
    using base::Millis;

    constexpr auto SEND_PERIOD = std::chrono::microseconds(500);
    constexpr size_t MAX_CONNECTIONS = 512;

    Instant steadyNow() { return std::chrono::steady_clock::now(); }

}

struct LoadGenerator::PendingRequest {
    std::string id;
    std::string host;
    std::string path;
    std::string body;
    Instant due; // scheduled time of sending; latency counts from here, so a late send is included
    int64_t dueMs { 0 };
    int resendsLeft { 0 };
    size_t clientIndex { 0 };
};

double LoadSummary::quantile(double q) const
{
    if (latenciesMs.empty())
        return 0;
    auto sorted = latenciesMs;
    auto at = std::min(sorted.size() - 1, static_cast<size_t>(q * static_cast<double>(sorted.size())));
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<long>(at), sorted.end());
    return sorted[at];
}

LoadGenerator::LoadGenerator(boost::asio::io_context& io, LoadOptions options, uint64_t seed)
    : m_io(io)
    , m_options(std::move(options))
    , m_random(seed)
    , m_timer(io)
{
    for (const auto& it : m_options.addresses)
        m_clients.push_back(http::makeHttpClient(io, it, { MAX_CONNECTIONS }));
    if (!m_options.logFile.empty())
        m_log.open(m_options.logFile, std::ios::app);
}

void LoadGenerator::run(std::function<void()> done)
{
    m_done = std::move(done);
    m_started = steadyNow();
    sendDueRequests();
}

void LoadGenerator::sendDueRequests()
{
    auto now = steadyNow();
    std::chrono::duration<double> elapsed = now - m_started;
    double scheduledSeconds = std::min(elapsed.count(), m_options.seconds);
    while (static_cast<double>(m_scheduled) < scheduledSeconds * m_options.ratePerSecond) {
        auto item = std::make_shared<PendingRequest>();
        auto offset = std::chrono::duration<double>(static_cast<double>(m_scheduled) / m_options.ratePerSecond);
        item->due = m_started + std::chrono::duration_cast<Instant::duration>(offset);
        item->dueMs = base::SystemClock().wallMs();
        item->id = base::makeUuidV7(item->dueMs);
        item->host = m_options.hosts[m_random.uniformBelow(m_options.hosts.size())];
        item->path = m_options.paths[m_random.uniformBelow(m_options.paths.size())];
        item->body = m_options.method == "GET"
            ? ""
            : std::string(m_options.bodyBytes, static_cast<char>('a' + m_scheduled % 26));
        item->resendsLeft = m_options.maxResends;
        item->clientIndex = m_random.uniformBelow(m_clients.size());
        ++m_scheduled;
        ++m_inFlight;
        ++m_summary.sent;
        send(item);
    }
    if (elapsed.count() >= m_options.seconds) {
        m_allSent = true;
        return finishIfDone();
    }
    m_timer.expires_after(SEND_PERIOD);
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            sendDueRequests();
    });
}

void LoadGenerator::send(const std::shared_ptr<PendingRequest>& item)
{
    http::HttpRequest request;
    request.method = m_options.method;
    request.path = item->path;
    request.headers = { { "Host", item->host }, { "X-Request-Id", item->id } };
    if (m_options.keyed)
        request.headers.push_back({ "Idempotency-Key", item->id });
    request.body = item->body;
    m_clients[item->clientIndex]->request(std::move(request), m_options.timeout,
        [this, item](const http::ExchangeResult& result) { onResult(item, result); });
}

// Resends a keyed request through the next node after a random delay. Returns false when the request has no key or no
// resends left.
bool LoadGenerator::scheduleResend(const std::shared_ptr<PendingRequest>& item)
{
    if (!m_options.keyed || item->resendsLeft == 0)
        return false;
    --item->resendsLeft;
    ++m_summary.resends;
    item->clientIndex = (item->clientIndex + 1) % m_clients.size();
    auto timer = std::make_shared<boost::asio::steady_timer>(
        m_io, Millis(50 + static_cast<int64_t>(m_random.uniformBelow(150))));
    timer->async_wait([this, item, timer](boost::system::error_code) { send(item); });
    return true;
}

void LoadGenerator::onResult(const std::shared_ptr<PendingRequest>& item, const http::ExchangeResult& result)
{
    std::string outcome(http::findHeader(result.response.headers, "X-Pomelowind-Outcome"));
    bool isComplete = result.end == http::ExchangeEnd::Answered;
    // Not final: no complete answer, an unknown outcome, or not run with a status other than 422 (invalid request).
    bool isFinal = isComplete && outcome != "unknown" && (outcome != "not-run" || result.response.status == 422);
    if (!isFinal && scheduleResend(item))
        return;
    --m_inFlight;
    double ms = std::chrono::duration<double, std::milli>(steadyNow() - item->due).count();
    std::string verdict = "lost";
    if (!isComplete) {
        ++m_summary.lost;
    } else if (outcome == "not-run") {
        verdict = "not-run";
        ++m_summary.notRun;
        m_summary.rateLimited += result.response.status == 429 ? 1 : 0;
    } else if (outcome == "unknown") {
        verdict = "unknown";
        ++m_summary.unknown;
    } else if (result.response.status >= 500) {
        verdict = "failed";
        ++m_summary.failed;
    } else {
        verdict = "ok";
        ++m_summary.ok;
        m_summary.latenciesMs.push_back(ms);
        const auto& body = result.response.body;
        auto separator = body.find('|');
        if (separator == std::string::npos
            || body.substr(separator) != "|" + item->path + "|" + item->id + "|" + item->body) {
            ++m_summary.wrongBodies;
            verdict = "wrong-body";
        }
        ++m_summary.byVersion[body.substr(0, separator)];
    }
    if (m_log.is_open())
        m_log << item->dueMs << ' ' << item->id << ' ' << item->path << ' ' << verdict << ' ' << result.response.status
              << ' ' << ms << ' ' << result.response.body.substr(0, result.response.body.find('|')) << '\n';
    finishIfDone();
}

void LoadGenerator::finishIfDone()
{
    if (!m_allSent || m_inFlight || !m_done)
        return;
    m_log.flush();
    boost::asio::post(m_io, std::exchange(m_done, nullptr));
}

} // namespace pomelowind::standins
