// Stand-in callers: an open-loop load with a log of every request's id, outcome and latency.
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

struct LoadOptions {
    std::vector<base::Address> addresses; // callers' addresses of nodes, or targets themselves
    std::vector<std::string> hosts { "localhost" };
    std::vector<std::string> paths { "/" };
    std::string method { "GET" };
    double ratePerSecond { 100 };
    double seconds { 5 };
    bool keyed { false }; // sends an Idempotency-Key, and sends again what ended unknown
    int resends { 0 };
    size_t bodyBytes { 16 };
    base::Millis timeout { 5000 };
    std::string log; // one line for each request
    bool progress { false };
};

// What the callers saw.
struct LoadSummary {
    uint64_t sent { 0 };
    uint64_t ok { 0 };
    uint64_t failed { 0 }; // ran, with an error status
    uint64_t notRun { 0 };
    uint64_t unknown { 0 };
    uint64_t lost { 0 }; // no whole answer from the node itself
    uint64_t wrongBodies { 0 };
    uint64_t resends { 0 };
    uint64_t limited { 0 };
    std::vector<double> latenciesMs; // of ok answers
    std::map<std::string, uint64_t> byVersion;
    double quantile(double q) const;
};

// Thread safety: confined to the duty of `io`.
class Load {
public:
    Load(boost::asio::io_context& io, LoadOptions options, uint64_t seed);
    // Sends until the time is over, waits for the last answers, and calls `done`.
    void run(std::function<void()> done);
    const LoadSummary& summary() const { return m_summary; }

private:
    struct Item;

    void sendDue();
    void send(const std::shared_ptr<Item>& item);
    void answered(const std::shared_ptr<Item>& item, const http::ExchangeResult& result);
    bool resend(const std::shared_ptr<Item>& item);
    void finished();

    boost::asio::io_context& m_io;
    LoadOptions m_options;
    base::Random m_random;
    std::vector<std::shared_ptr<http::HttpClient>> m_clients;
    boost::asio::steady_timer m_timer;
    base::Instant m_started;
    uint64_t m_scheduled { 0 };
    uint64_t m_open { 0 };
    bool m_ended { false };
    std::function<void()> m_done;
    LoadSummary m_summary;
    std::ofstream m_log;
};

} // namespace pomelowind::standins
