#include "standins/Load.h"

#include "pomelowind/base/Hash.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <iostream>

namespace pomelowind::standins {

namespace {

    using base::Instant;
    using base::Millis;

    constexpr auto TICK = std::chrono::microseconds(500);
    constexpr size_t CONNECTIONS = 512;

    Instant steadyNow() { return std::chrono::steady_clock::now(); }

}

struct Load::Item {
    std::string id;
    std::string host;
    std::string path;
    std::string body;
    Instant due; // scheduled time of sending; latency counts from here, so a late send is included
    int64_t dueMs { 0 };
    int resendsLeft { 0 };
    size_t client { 0 };
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

Load::Load(boost::asio::io_context& io, LoadOptions options, uint64_t seed)
    : m_io(io)
    , m_options(std::move(options))
    , m_random(seed)
    , m_timer(io)
{
    for (const auto& it : m_options.addresses)
        m_clients.push_back(http::makeHttpClient(io, it, { CONNECTIONS }));
    if (!m_options.log.empty())
        m_log.open(m_options.log, std::ios::app);
}

void Load::run(std::function<void()> done)
{
    m_done = std::move(done);
    m_started = steadyNow();
    sendDue();
}

void Load::sendDue()
{
    auto now = steadyNow();
    std::chrono::duration<double> passed = now - m_started;
    double until = std::min(passed.count(), m_options.seconds);
    while (static_cast<double>(m_scheduled) < until * m_options.ratePerSecond) {
        auto item = std::make_shared<Item>();
        auto offset = std::chrono::duration<double>(static_cast<double>(m_scheduled) / m_options.ratePerSecond);
        item->due = m_started + std::chrono::duration_cast<Instant::duration>(offset);
        item->dueMs = base::SystemClock().wallMs();
        item->id = base::makeUuidV7(item->dueMs);
        item->host = m_options.hosts[m_random.below(m_options.hosts.size())];
        item->path = m_options.paths[m_random.below(m_options.paths.size())];
        item->body = m_options.method == "GET"
            ? ""
            : std::string(m_options.bodyBytes, static_cast<char>('a' + m_scheduled % 26));
        item->resendsLeft = m_options.resends;
        item->client = m_random.below(m_clients.size());
        ++m_scheduled;
        ++m_open;
        ++m_summary.sent;
        send(item);
    }
    if (passed.count() >= m_options.seconds) {
        m_ended = true;
        return finished();
    }
    m_timer.expires_after(TICK);
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            sendDue();
    });
}

void Load::send(const std::shared_ptr<Item>& item)
{
    http::HttpRequest request;
    request.method = m_options.method;
    request.path = item->path;
    request.headers = { { "Host", item->host }, { "X-Request-Id", item->id } };
    if (m_options.keyed)
        request.headers.push_back({ "Idempotency-Key", item->id });
    request.body = item->body;
    m_clients[item->client]->request(std::move(request), m_options.timeout,
        [this, item](const http::ExchangeResult& result) { answered(item, result); });
}

// Resends a keyed request through the next node after a random delay. Returns false when the request has no key or no
// resends left. A request without a final outcome was lost, unknown, or not run for a reason other than status 422.
bool Load::resend(const std::shared_ptr<Item>& item)
{
    if (!m_options.keyed || item->resendsLeft == 0)
        return false;
    --item->resendsLeft;
    ++m_summary.resends;
    item->client = (item->client + 1) % m_clients.size();
    auto timer
        = std::make_shared<boost::asio::steady_timer>(m_io, Millis(50 + static_cast<int64_t>(m_random.below(150))));
    timer->async_wait([this, item, timer](boost::system::error_code) { send(item); });
    return true;
}

void Load::answered(const std::shared_ptr<Item>& item, const http::ExchangeResult& result)
{
    std::string outcome(http::findHeader(result.response.headers, "X-Pomelowind-Outcome"));
    bool whole = result.end == http::ExchangeEnd::Answered;
    bool sure = whole && outcome != "unknown" && (outcome != "not-run" || result.response.status == 422);
    if (!sure && resend(item))
        return;
    --m_open;
    double ms = std::chrono::duration<double, std::milli>(steadyNow() - item->due).count();
    std::string verdict = "lost";
    if (!whole) {
        ++m_summary.lost;
    } else if (outcome == "not-run") {
        verdict = "not-run";
        ++m_summary.notRun;
        m_summary.limited += result.response.status == 429 ? 1 : 0;
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
        auto bar = body.find('|');
        if (bar == std::string::npos || body.substr(bar) != "|" + item->path + "|" + item->id + "|" + item->body) {
            ++m_summary.wrongBodies;
            verdict = "wrong-body";
        }
        ++m_summary.byVersion[body.substr(0, bar)];
    }
    if (m_log.is_open())
        m_log << item->dueMs << ' ' << item->id << ' ' << item->path << ' ' << verdict << ' ' << result.response.status
              << ' ' << ms << ' ' << result.response.body.substr(0, result.response.body.find('|')) << '\n';
    finished();
}

void Load::finished()
{
    if (!m_ended || m_open || !m_done)
        return;
    m_log.flush();
    boost::asio::post(m_io, std::exchange(m_done, nullptr));
}

} // namespace pomelowind::standins
