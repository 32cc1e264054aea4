// Stand-in callers: an open-loop load generator that logs the id, outcome and latency of every request.
#pragma once

#include "pomelowind/base/Random.h"
#include "pomelowind/base/Settings.h"
#include "pomelowind/http/HttpClient.h"

#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pomelowind::standins {

// The load to send. Each request uses an address, a host and a path that are drawn at random.
struct LoadOptions {
    std::vector<base::Address> addresses; // caller addresses of nodes, or addresses of targets
    std::vector<std::string> hosts { "localhost" };
    std::vector<std::string> paths { "/" };
    std::string method { "GET" };
    double ratePerSecond { 100 };
    double seconds { 5 };
    bool keyed { false }; // sends an Idempotency-Key and resends requests without a final outcome
    int maxResends { 0 }; // maximum for each keyed request
    size_t bodyBytes { 16 };
    base::Millis timeout { 5000 };
    std::string logFile; // when set, a line for each request is appended: time id path outcome status latency version
    bool progress { false };
};

// Results as the callers saw them; each request counts once, under its last outcome.
struct LoadSummary {
    uint64_t sent { 0 };
    uint64_t ok { 0 };
    uint64_t failed { 0 }; // ran and was answered with a 5xx status
    uint64_t notRun { 0 }; // answered as not run
    uint64_t unknown { 0 }; // answered with outcome unknown: it may have run
    uint64_t lost { 0 }; // no complete answer from the node
    uint64_t wrongBodies { 0 }; // ok answers that do not echo the request
    uint64_t resends { 0 };
    uint64_t rateLimited { 0 }; // those of `notRun` with status 429
    std::vector<double> latenciesMs; // of ok answers, from the scheduled time of sending
    std::map<std::string, uint64_t> byVersion; // ok answers by the version that answered
    // Latency in milliseconds at quantile `q` (0 to 1); 0 when there are no ok answers.
    double quantile(double q) const;
};

// Sends requests at a fixed rate, whether or not earlier ones have been answered. Thread safety: confined to the event
// loop thread of `io`.
class LoadGenerator {
public:
    LoadGenerator(boost::asio::io_context& io, LoadOptions options, uint64_t seed);
    // Sends until the time is over, waits for the last answers, and calls `done` once. Call it once.
    void run(std::function<void()> done);
    const LoadSummary& summary() const { return m_summary; }

private:
    struct PendingRequest;

    void sendDueRequests();
    void send(const std::shared_ptr<PendingRequest>& item);
    void onResult(const std::shared_ptr<PendingRequest>& item, const http::ExchangeResult& result);
    bool scheduleResend(const std::shared_ptr<PendingRequest>& item);
    void finishIfDone();

    boost::asio::io_context& m_io;
    LoadOptions m_options;
    base::Random m_random;
    std::vector<std::shared_ptr<http::HttpClient>> m_clients;
    boost::asio::steady_timer m_timer;
    base::Instant m_started;
    uint64_t m_scheduled { 0 };
    uint64_t m_inFlight { 0 };
    bool m_allSent { false };
    std::function<void()> m_done;
    LoadSummary m_summary;
    std::ofstream m_log;
};

} // namespace pomelowind::standins
