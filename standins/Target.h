// Stand-in target: an HTTP server with concurrency slots, cold start, load shedding, draining, cancellation, downstream
// calls that pass on the deadline, and injected faults. It announces itself to its node as a real target does, and
// counts how often each request other than GET ran.
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

// The fault that a version shows. `kind` is one of
//   none      no fault
//   fail      answers with status 500
//   account   as fail; meant for one client account, chosen by `host`
//   load      as fail; meant for high load, chosen by `onlyAboveRunning`
//   slow      multiplies the service time by `slowdown`
//   leak      doubles the service time at a fixed period
//   crash     ends the process at once
//   cut       closes the connection in the middle of the response body
struct InjectedFault {
    std::string kind { "none" };
    std::string pathPrefix; // affects only calls with this path prefix; all when empty
    double probability { 0.05 }; // probability that a call is affected; slow and leak affect every matching call
    double slowdown { 1 }; // of the service time, for kind slow
    base::Millis startsAfter { 0 }; // from the start of the process until the fault begins
    std::string host; // affects only calls with this Host; all when empty
    int onlyAboveRunning { 0 }; // affects calls only while more than this many run
};

// The settings file of a stand-in target.
struct TargetSettings {
    std::string id;
    std::string serviceName;
    std::string version;
    base::Address address;
    base::Address announce; // the node's address for announcements
    base::Address metricsAddress;
    int slots { 12 };
    std::string maxRate; // calls per second to name in each response as accepted, as text; empty: none
    base::Millis serviceTime { 4 };
    base::Millis coldStart { 0 }; // after the start, calls take longer for this time
    bool exponential { true }; // service times are exponentially distributed; otherwise constant
    size_t answerBytes { 0 }; // calls of paths that begin with /get are answered with at least so many bytes
    InjectedFault fault;
    std::string runsLogFile; // when set, a line for each counted run is appended: time key target version
    std::string getsLogFile; // the same for GET requests
    std::string downstreamHost; // when set, a call calls this host and path through the own node before it is answered
    std::string downstreamPath;
    base::Address downstreamAddress;
    std::string logLevel;
};

// Reads and checks a settings file. Throws UserError(Settings) that lists every problem.
TargetSettings readTargetSettings(const std::string& file);

// Serves calls and announces its state to its node. Thread safety: confined to the event loop thread of `io`.
class Target final : public http::HttpHandler {
public:
    Target(boost::asio::io_context& io, TargetSettings settings, uint64_t seed);
    // Answers a call after its service time, or at once with 503 when no slot is free; /health at once, and /__runs/KEY
    // with the number of runs of that key.
    void handle(http::HttpRequest request, std::shared_ptr<http::HttpReply> reply) override;
    // Shuts down gracefully: announces that the target is draining, waits until its calls have ended, announces that it
    // has gone, and calls `done`.
    void drain(std::function<void()> done);
    // Announces the target now and periodically from then on.
    void startAnnouncing();

private:
    struct RunningCall;

    void announce(const std::string& state, std::function<void()> done);
    void scheduleAnnouncement();
    void start(const std::shared_ptr<RunningCall>& call);
    void callDownstream(const std::shared_ptr<RunningCall>& call);
    void finish(const std::shared_ptr<RunningCall>& call);
    void recordRun(const http::HttpRequest& request);
    bool isFaultActive(const http::HttpRequest& request) const;
    base::Millis serviceTime(const http::HttpRequest& request);
    http::HttpResponse withNotice(http::HttpResponse response) const;
    http::HttpResponse runCountOf(const std::string& path) const;
    void waitUntilIdle(std::function<void()> done);

    boost::asio::io_context& m_io;
    TargetSettings m_settings;
    base::Random m_random;
    base::Instant m_started;
    int64_t m_incarnation;
    std::shared_ptr<http::HttpClient> m_announcer;
    std::shared_ptr<http::HttpClient> m_downstream;
    std::unique_ptr<http::HttpServer> m_server;
    boost::asio::steady_timer m_announceTimer;
    boost::asio::steady_timer m_drainTimer;
    std::string m_state { "serving" };
    int64_t m_sequence { 0 }; // of announcements
    int m_running { 0 };
    std::map<std::string, int> m_runCountsByKey;
    std::ofstream m_runsLog;
    std::ofstream m_getsLog;
};

} // namespace pomelowind::standins
