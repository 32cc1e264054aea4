#include "pomelowind/node/NodeHost.h"

#include "AnnounceApi.h"
#include "CallPath.h"
#include "CallerLimits.h"
#include "DistributionNetwork.h"
#include "ReadyApi.h"
#include "pomelowind/base/EventLoopThread.h"
#include "pomelowind/base/Isolation.h"
#include "pomelowind/base/Log.h"
#include "pomelowind/base/Mailbox.h"
#include "pomelowind/base/TimerService.h"
#include "pomelowind/host/Metrics.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <future>

namespace pomelowind::node {

namespace {

    constexpr size_t QUEUE_CAPACITY = 1024;
    constexpr auto DISTRIBUTION_TICK = base::Millis(50);
    constexpr auto CALLS_TICK = base::Millis(20);
    constexpr auto EVIDENCE_PERIOD = base::Millis(250);
    constexpr auto METRICS_PERIOD = base::Millis(1000);
    constexpr double MS_PER_SECOND = 1000;
    // Time between announcing the targets as draining and refusing other nodes' calls. The announcement reaches all
    // nodes well within it, and most calls that were sent before end within it.
    constexpr auto DRAIN_NOTICE = base::Millis(1000);
    constexpr auto FINAL_FLUSH_DELAY = std::chrono::milliseconds(150); // for the last messages to be sent

    // Range from a call served on the same host to the longest timeout in use.
    const std::vector<double> LATENCY_BOUNDS_SECONDS { 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5 };

    // Runs `task` on the thread of `loop` and waits until it has ended.
    void runAndWait(base::EventLoopThread& loop, std::function<void()> task)
    {
        std::promise<void> done;
        boost::asio::post(loop.context(), [&] {
            task();
            done.set_value();
        });
        done.get_future().wait();
    }

}

// Connects the two event loops by bounded queues: distribution -> calls (snapshots, local targets) and calls ->
// distribution (evidence, alarms).
class NodeHost::Impl final : public TargetRegistry {
public:
    Impl(NodeSettings settings, NodeProtocols protocols)
        : m_settings(std::move(settings))
        , m_protocol(protocols.calls ? std::move(protocols.calls) : makeProductCallProtocol())
        , m_distributionLoop("distribution")
        , m_callsLoop("calls")
        , m_views(m_callsLoop.context(), QUEUE_CAPACITY,
              [this](MeshViewPtr&& view) {
                  base::runIsolated("calls.view", [&] { m_callPath->setView(std::move(view)); });
              })
        , m_localTargets(m_callsLoop.context(), QUEUE_CAPACITY,
              [this](std::vector<Announcement>&& targets) {
                  base::runIsolated("calls.targets", [&] { m_callPath->setLocalTargets(targets); });
              })
        , m_reports(m_distributionLoop.context(), QUEUE_CAPACITY,
              [this](wire::Report&& report) {
                  base::runIsolated("distribution.report", [&] { m_core->addReport(report, m_clock.now()); });
              })
        , m_metrics(host::serveMetrics(m_settings.metricsAddress))
        , m_network(
              m_distributionLoop.context(), m_settings, m_clock,
              [this](MeshViewPtr view) {
                  setReady(view->serving && !m_stopped);
                  m_views.tryPut(std::move(view));
              },
              [this](std::vector<Announcement> targets) { m_localTargets.tryPut(std::move(targets)); })
        , m_core(std::make_unique<DistributionCore>(
              m_settings, m_network, m_clock.now(), m_clock.wallMs(), base::randomSeed()))
        , m_callPath(std::make_unique<CallPath>(
              m_callsLoop.context(), m_settings, *m_protocol, m_clock,
              [this](wire::Report report) { m_reports.tryPut(std::move(report)); }, base::randomSeed()))
        , m_announceApi(protocols.announce ? protocols.announce(*this)
                                           : std::make_unique<AnnounceApi>(m_settings, *m_core, m_clock))
        , m_announceServer(http::makeHttpServer(m_distributionLoop.context(), m_settings.announceAddress,
              hostListenerLimits(), *m_announceApi, std::make_shared<base::MemoryBudget>(HOST_LISTENER_BYTES)))
        , m_timers(base::makeTimerService())
    {
        m_network.attach(*m_core);
        makeGauges();
        m_callPath->setLatencyRecorder(
            [histogram = m_metrics->histogram("call_seconds", "Time from a call's arrival to its answer",
                 LATENCY_BOUNDS_SECONDS)](double seconds) { histogram->observe(seconds); });
        m_callPath->setLeavingListener([this](const std::string& target, int64_t incarnation) {
            boost::asio::post(m_distributionLoop.context(), [this, target, incarnation] {
                base::runIsolated(
                    "distribution.drain", [&] { m_core->drainTarget(target, incarnation, m_clock.now()); });
            });
        });
        if (m_settings.readyAddress)
            m_readyServer = http::makeHttpServer(m_distributionLoop.context(), *m_settings.readyAddress,
                hostListenerLimits(), m_readyApi, std::make_shared<base::MemoryBudget>(HOST_LISTENER_BYTES));
        subscribeTimers();
        m_callsLoop.start();
        m_distributionLoop.start();
        base::logInfo("node.started",
            { { "id", m_settings.id }, { "callers", m_settings.callerAddress.text() },
                { "mesh", m_settings.meshAddress.text() } });
    }

    ~Impl() override { stop(); }

    void reload(const NodeSettings& settings)
    {
        std::vector<std::string> seeds;
        for (const auto& it : settings.control)
            seeds.push_back(it.address.text());
        boost::asio::post(m_distributionLoop.context(),
            [this, seeds] { base::runIsolated("distribution.seeds", [&] { m_core->learnControlHosts(seeds); }); });
        base::logInfo("settings.reloaded", { { "id", m_settings.id }, { "seeds", seeds.size() } });
    }

    // ---- TargetRegistry, on the distribution event loop ----

    void announce(const Announcement& announcement) override { m_core->announce(announcement, m_clock.now()); }
    void depart(const std::string& target, std::optional<int64_t> incarnation) override
    {
        m_core->depart(target, incarnation, m_clock.now());
    }
    void whenRecorded(const std::string& target, std::function<void(bool)> done) override
    {
        m_core->whenRecorded(target, std::move(done), m_clock.now());
    }

    void stop()
    {
        if (m_stopped.exchange(true))
            return;
        setReady(false);
        base::logInfo("node.draining", { { "id", m_settings.id } });
        auto drained = std::make_shared<std::promise<void>>();
        auto future = drained->get_future();
        boost::asio::post(
            m_callsLoop.context(), [this, drained] { m_callPath->drain([drained] { drained->set_value(); }); });
        // Callers need the whole grace period to move to other nodes. Other nodes react much faster, so the targets
        // keep serving them until shortly before its end.
        auto untilDrain = std::clamp(m_settings.drainGrace - DRAIN_NOTICE, base::Millis(0), m_settings.stopTimeout);
        bool allEnded = future.wait_for(untilDrain) == std::future_status::ready;
        runAndWait(m_distributionLoop, [this] { m_core->startDraining(m_clock.now()); });
        if (!allEnded)
            allEnded = future.wait_for(m_settings.stopTimeout - untilDrain) == std::future_status::ready;
        if (!allEnded)
            runAndWait(m_callsLoop, [this] { m_callPath->endCalls(); });
        runAndWait(m_distributionLoop, [this] { m_core->announceStop(m_clock.now()); });
        std::this_thread::sleep_for(FINAL_FLUSH_DELAY);
        m_subscriptions.clear();
        m_timers.reset();
        runAndWait(m_callsLoop, [this] { m_callPath->close(); });
        runAndWait(m_distributionLoop, [this] {
            m_announceServer->close();
            if (m_readyServer)
                m_readyServer->close();
            m_network.close();
        });
        m_callsLoop.stop();
        m_distributionLoop.stop();
        base::logInfo("node.stopped", { { "id", m_settings.id }, { "drained", allEnded ? 1 : 0 } });
    }

private:
    void setReady(bool ready)
    {
        if (m_readyApi.setReady(ready) != ready)
            base::logInfo("node.ready", { { "id", m_settings.id }, { "ready", ready ? 1 : 0 } });
    }

    // Runs `task` periodically on the thread of `loop`. A period in which it fails is logged and does not end the
    // others.
    void subscribe(base::EventLoopThread& loop, base::Millis period, const char* place, std::function<void()> task)
    {
        m_subscriptions.push_back(m_timers->subscribe(
            loop.context(), period, [place, task = std::move(task)] { base::runIsolated(place, task); }));
    }

    void subscribeTimers()
    {
        subscribe(
            m_distributionLoop, DISTRIBUTION_TICK, "distribution.network", [this] { m_network.tick(m_clock.now()); });
        subscribe(m_distributionLoop, DISTRIBUTION_TICK, "distribution.core", [this] { m_core->tick(m_clock.now()); });
        subscribe(m_callsLoop, CALLS_TICK, "calls.sweep", [this] { m_callPath->sweep(); });
        subscribe(
            m_callsLoop, callers::AccountQuota::REPORT_PERIOD, "calls.usage", [this] { m_callPath->reportUsage(); });
        subscribe(m_callsLoop, EVIDENCE_PERIOD, "calls.evidence", [this] { m_callPath->reportEvidence(); });
        m_subscriptions.push_back(m_timers->subscribe(m_distributionLoop.context(), METRICS_PERIOD, [this] {
            m_version->set(static_cast<double>(m_core->state().version()));
            m_sent->set(static_cast<double>(m_network.traffic().sent));
            m_received->set(static_cast<double>(m_network.traffic().received));
        }));
        m_subscriptions.push_back(m_timers->subscribe(m_callsLoop.context(), METRICS_PERIOD, [this] {
            const auto& counts = m_callPath->counts();
            m_callCount->set(static_cast<double>(counts.calls));
            m_notRun->set(static_cast<double>(counts.notRun));
            m_unknown->set(static_cast<double>(counts.unknown));
            m_retries->set(static_cast<double>(counts.retries));
            m_limited->set(static_cast<double>(counts.limited));
            m_overQuota->set(static_cast<double>(counts.overQuota));
            m_overEqualPart->set(static_cast<double>(counts.overEqualPart));
            m_unauthorized->set(static_cast<double>(counts.unauthorized));
            m_withoutLease->set(static_cast<double>(counts.withoutLease));
            if (auto left = m_callPath->leaseLeft())
                m_leaseLeft->set(static_cast<double>(left->count()) / MS_PER_SECOND);
            m_blocked->set(static_cast<double>(counts.blocked));
            m_targetCalls->set(static_cast<double>(m_callPath->localTargets().sentCalls()));
            m_targetCrashes->set(static_cast<double>(m_callPath->localTargets().crashes()));
            m_targetLimit->set(m_callPath->localTargets().maxCallsPerSecond());
            m_targetCallsRunning->set(static_cast<double>(m_callPath->localTargets().runningCount()));
            m_evacuated->set(m_callPath->evacuations().isHostEvacuated() ? 1 : 0);
            m_refusedAtGates->set(static_cast<double>(m_callPath->localTargets().refusedAtClosedGates()));
            m_refusedByCold->set(static_cast<double>(m_callPath->localTargets().refusedByCold()));
            m_targetsCold->set(m_callPath->localTargets().coldTargets());
            m_callerMemory->set(static_cast<double>(m_callPath->callerMemoryBytes()));
            m_callerConnections->set(static_cast<double>(m_callPath->callerServer().connectionCount()));
            const auto closed = m_callPath->callerServer().closedCallers();
            m_idleClosed->set(static_cast<double>(closed.idle));
            m_connectionsRefused->set(static_cast<double>(closed.refused));
            m_slowClosed->set(static_cast<double>(closed.slow));
        }));
    }

    void makeGauges()
    {
        m_version = m_metrics->gauge("config_version", "Version of the configuration in force");
        m_sent = m_metrics->gauge("control_bytes_sent", "Bytes sent for configuration and presence");
        m_received = m_metrics->gauge("control_bytes_received", "Bytes received for configuration and presence");
        m_callCount = m_metrics->gauge("calls", "Calls taken from callers");
        m_notRun = m_metrics->gauge("calls_not_run", "Calls answered as not run");
        m_unknown = m_metrics->gauge("calls_unknown", "Calls of which it is unknown whether they ran");
        m_retries = m_metrics->gauge("call_retries", "Attempts after the first");
        m_limited = m_metrics->gauge("calls_limited", "Calls over a client account's limit");
        m_overQuota = m_metrics->gauge("calls_over_quota", "Calls over a client account's limit over all nodes");
        m_overEqualPart = m_metrics->gauge(
            "calls_over_equal_part", "Calls over this node's part of a limit, without contact to the leader");
        m_unauthorized = m_metrics->gauge(
            "calls_unauthorized", "Calls refused because they carry no known key of a client account");
        m_withoutLease = m_metrics->gauge(
            "calls_without_lease", "Calls refused because the configuration was not known to be recent");
        if (m_settings.lease.enabled())
            m_leaseLeft = m_metrics->gauge("lease_left_seconds", "Time for which keys are honoured without a proof");
        m_blocked = m_metrics->gauge("calls_blocked", "Calls refused because they crash their targets");
        m_targetCalls = m_metrics->gauge("target_calls", "Calls sent to the targets of this host");
        m_targetCallsRunning
            = m_metrics->gauge("target_calls_running", "Calls that run at the targets of this host now");
        m_evacuated = m_metrics->gauge("evacuated", "1 while the data centre of this host is evacuated");
        m_refusedAtGates = m_metrics->gauge(
            "target_calls_gate_closed", "Calls refused because of an evacuation, or before this node served");
        m_targetCrashes = m_metrics->gauge("target_crashes", "Crashes of the targets of this host");
        m_refusedByCold = m_metrics->gauge(
            "calls_refused_cold", "Calls refused by the gates of this host because targets are cold");
        m_targetsCold = m_metrics->gauge("targets_cold", "Targets of this host that are cold and have a limit");
        m_callerMemory = m_metrics->gauge("caller_memory_bytes", "Bytes held for callers");
        m_callerConnections = m_metrics->gauge("caller_connections", "Open connections of callers");
        m_idleClosed = m_metrics->gauge("callers_idle_closed", "Idle connections closed because there were too many");
        m_connectionsRefused = m_metrics->gauge("callers_refused", "New connections closed as there were too many");
        m_slowClosed = m_metrics->gauge("callers_slow_closed", "Connections of slow callers closed to free memory");
        m_targetLimit
            = m_metrics->gauge("target_limit", "Calls per second that the targets of this host accept; 0: any");
    }

    NodeSettings m_settings;
    std::unique_ptr<CallProtocol> m_protocol;
    ReadyApi m_readyApi;
    base::SystemClock m_clock;
    base::EventLoopThread m_distributionLoop;
    base::EventLoopThread m_callsLoop;
    base::Mailbox<MeshViewPtr> m_views;
    base::Mailbox<std::vector<Announcement>> m_localTargets;
    base::Mailbox<wire::Report> m_reports;
    std::unique_ptr<host::Metrics> m_metrics;
    DistributionNetwork m_network;
    std::unique_ptr<DistributionCore> m_core;
    std::unique_ptr<CallPath> m_callPath;
    std::unique_ptr<http::HttpHandler> m_announceApi;
    std::unique_ptr<http::HttpServer> m_announceServer;
    std::unique_ptr<http::HttpServer> m_readyServer;
    std::unique_ptr<base::TimerService> m_timers;
    std::vector<std::unique_ptr<base::TimerSubscription>> m_subscriptions;
    std::shared_ptr<host::Gauge> m_version, m_sent, m_received, m_callCount, m_notRun, m_unknown, m_retries, m_limited;
    std::shared_ptr<host::Gauge> m_targetCalls, m_targetLimit, m_targetCrashes, m_blocked, m_overQuota, m_overEqualPart;
    std::shared_ptr<host::Gauge> m_unauthorized, m_withoutLease;
    std::shared_ptr<host::Gauge> m_leaseLeft; // null where no leases are asked for
    std::shared_ptr<host::Gauge> m_targetCallsRunning, m_evacuated, m_refusedAtGates;
    std::shared_ptr<host::Gauge> m_refusedByCold, m_targetsCold;
    std::shared_ptr<host::Gauge> m_callerMemory, m_callerConnections, m_idleClosed, m_connectionsRefused, m_slowClosed;
    std::atomic<bool> m_stopped { false };
};

NodeHost::NodeHost(NodeSettings settings, NodeProtocols protocols)
    : m_impl(std::make_unique<Impl>(std::move(settings), std::move(protocols)))
{
}

void NodeHost::reload(const NodeSettings& settings) { m_impl->reload(settings); }

NodeHost::~NodeHost() = default;

void NodeHost::stop() { m_impl->stop(); }

} // namespace pomelowind::node
