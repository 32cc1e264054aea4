// Stand-in target: slots, cold start, drain, shedding, cancellation, deadlines, and the ways in which a version is bad.
#pragma once

#include "pomelowind/base/Random.h"
#include "pomelowind/base/Settings.h"
#include "pomelowind/http/HttpClient.h"
#include "pomelowind/http/HttpServer.h"

#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <map>
#include <memory>
#include <string>

namespace pomelowind::standins {

// How a version misbehaves; `kind` is one of none, fail, slow, crash, leak, load, account, cut.
struct Badness {
    std::string kind { "none" };
    std::string route; // only calls with this path prefix; all when empty
    double rate { 0.05 }; // share of calls that fail
    double factor { 1 }; // of the service time
    base::Millis after { 0 }; // begins this long after the start
    std::string host; // for kind account: only calls with this Host
    int aboveRunning { 0 }; // for kind load: only while more calls run
};

struct TargetSettings {
    std::string id;
    std::string serviceName;
    std::string version;
    base::Address address;
    base::Address announce;
    base::Address metricsAddress;
    int slots { 12 };
    base::Millis serviceTime { 4 };
    base::Millis coldStart { 0 };
    bool exponential { true };
    Badness bad;
    std::string runsLog; // one line for each run: time key version
    std::string downstreamHost; // calls this host's route through the own node before answering
    std::string downstreamPath;
    base::Address downstreamAddress;
    std::string logLevel;
};

// Throws UserError(Settings) that lists every problem.
TargetSettings readTargetSettings(const std::string& file);

// Thread safety: confined to the duty of `io`.
class Target final : public http::HttpHandler {
public:
    Target(boost::asio::io_context& io, TargetSettings settings, uint64_t seed);
    void handle(http::HttpRequest request, std::shared_ptr<http::HttpReply> reply) override;
    // Announces that it leaves, ends its calls, announces that it has gone, and calls `done`.
    void leave(std::function<void()> done);
    // Announces itself now and each second.
    void announceNow();

private:
    struct Run;

    void announce(const std::string& state, std::function<void()> done);
    void announceLater();
    void start(const std::shared_ptr<Run>& run);
    void callDownstream(const std::shared_ptr<Run>& run);
    void finish(const std::shared_ptr<Run>& run);
    void noteRun(const http::HttpRequest& request);
    bool isBad(const http::HttpRequest& request) const;
    base::Millis serviceTime(const http::HttpRequest& request);
    http::HttpResponse runsOf(const std::string& path) const;
    void waitIdle(std::function<void()> done);

    boost::asio::io_context& m_io;
    TargetSettings m_settings;
    base::Random m_random;
    base::Instant m_started;
    int64_t m_incarnation;
    std::shared_ptr<http::HttpClient> m_announcer;
    std::shared_ptr<http::HttpClient> m_downstream;
    std::unique_ptr<http::HttpServer> m_server;
    boost::asio::steady_timer m_announceTimer;
    boost::asio::steady_timer m_leaveTimer;
    std::string m_state { "serving" };
    int m_running { 0 };
    std::map<std::string, int> m_runs;
    std::ofstream m_log;
};

} // namespace pomelowind::standins
