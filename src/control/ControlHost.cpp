#include "pomelowind/control/ControlHost.h"

#include "ControlCore.h"
#include "DiskWriter.h"
#include "MemberNetwork.h"
#include "SourcePoller.h"
#include "Views.h"
#include "pomelowind/base/Isolation.h"
#include "pomelowind/base/Log.h"
#include "pomelowind/base/TimerService.h"
#include "pomelowind/host/Metrics.h"
#include "pomelowind/operators/OperatorApi.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <future>

namespace pomelowind::control {

namespace {

    constexpr size_t QUEUE_CAPACITY = 8192;
    constexpr auto TICK_PERIOD = base::Millis(20);
    constexpr auto METRICS_PERIOD = base::Millis(1000);
    constexpr auto DRAIN_GRACE_PERIOD = base::Millis(200);
    constexpr auto DRAIN_TIMEOUT = std::chrono::seconds(2);
    // For the last answers to be sent, and their connections to be closed by the operators.
    constexpr auto ANSWER_TIMEOUT = std::chrono::seconds(1);
    constexpr int STATUS_INTERNAL_ERROR = 500;
    constexpr int STATUS_UNAVAILABLE = 503;
    constexpr char INTERNAL_ERROR_BODY[]
        = R"({"error":"internal","message":"the view cannot be rendered","remedy":"see the log of this control host"})";
    constexpr char STALE_BODY[]
        = R"({"error":"unavailable","message":"this control host does not hear the leader","remedy":"ask another control host"})";
    constexpr size_t MAX_REQUEST_BODY_BYTES = 8 * 1024 * 1024;
    // Bytes of requests and responses that are held for operators at once.
    constexpr size_t OPERATOR_MEMORY_BYTES = 64 * 1024 * 1024;
    // Part of the process's descriptors for operators' connections. The rest is for nodes, other control hosts, the
    // metrics and the store.
    constexpr double OPERATORS_SHARE = 0.25;

}

// Connects the threads through bounded queues: network -> decisions, decisions -> network, decisions -> disk ->
// decisions, API -> decisions.
class ControlHost::Impl final : public ControlOutputs, public operators::ControlBackend {
public:
    Impl(ControlSettings settings, members::EmptyFolderMode emptyFolderMode,
        const operators::OperatorHandlerFactory& handlerFactory)
        : m_settings(std::move(settings))
        , m_dataFolder(host::openDataFolder(m_settings.dataFolder))
        , m_store(*m_dataFolder)
        , m_decisionThread("decisions")
        , m_apiThread("api")
        , m_networkEvents(m_decisionThread.context(), QUEUE_CAPACITY,
              [this](NetworkEvent&& event) { handleNetworkEvent(std::move(event)); })
        , m_diskResults(m_decisionThread.context(), DISK_QUEUE_CAPACITY,
              [this](DiskResult&& result) { m_core->handleDiskResult(std::move(result), m_clock.now()); })
        , m_apiRequests(m_decisionThread.context(), QUEUE_CAPACITY, [](std::function<void()>&& request) { request(); })
        , m_network(m_settings, [this](NetworkEvent event) { return m_networkEvents.tryPut(std::move(event)); })
        , m_diskWriter(m_store,
              [this](DiskResult result) {
                  // The queue has room for the results of all writes that can be outstanding.
                  if (!m_diskResults.tryPut(std::move(result)))
                      throw base::InternalFault("the result of a disk write is lost");
              })
        , m_operatorHandler(handlerFactory ? handlerFactory(*this)
                                           : std::make_unique<operators::OperatorApi>(m_settings.roles, *this))
        , m_metrics(host::serveMetrics(m_settings.metricsAddress))
        , m_versionGauge(m_metrics->gauge("config_version", "Version of the accepted configuration"))
        , m_leaderGauge(m_metrics->gauge("is_leader", "1 while this host leads"))
        , m_evacuationsGauge(m_metrics->gauge("evacuations", "Data centres whose evacuation is in force"))
        , m_sentGauge(m_metrics->gauge("link_bytes_sent", "Bytes sent on links"))
        , m_receivedGauge(m_metrics->gauge("link_bytes_received", "Bytes received on links"))
    {
        auto durable = m_store.load(emptyFolderMode, bootstrapMembership());
        base::logInfo("control.loaded",
            { { "id", m_settings.id }, { "disk", durable.diskId }, { "recovering", durable.recovering ? 1 : 0 },
                { "entries", durable.entries.size() }, { "term", durable.hardState.term } });
        m_core = std::make_unique<ControlCore>(
            m_settings, std::move(durable), *this, m_clock.now(), m_clock.wallMs(), base::randomSeed());
        http::HttpLimits limits;
        limits.maxBodyBytes = MAX_REQUEST_BODY_BYTES;
        limits.maxConnections = http::connectionsForShare(OPERATORS_SHARE);
        m_operatorServer = http::makeHttpServer(m_apiThread.context(), m_settings.operatorAddress, limits,
            *m_operatorHandler, std::make_shared<base::MemoryBudget>(OPERATOR_MEMORY_BYTES));
        m_timers = base::makeTimerService();
        m_tickTimer = m_timers->subscribe(
            m_decisionThread.context(), TICK_PERIOD, [this] { m_core->tick(m_clock.now(), m_clock.wallMs()); });
        m_metricsTimer = m_timers->subscribe(m_decisionThread.context(), METRICS_PERIOD, [this] { updateGauges(); });
        startSourcePolling();
        m_diskWriter.start();
        m_decisionThread.start();
        m_network.start(*m_timers);
        m_apiThread.start();
        base::logInfo("control.started",
            { { "id", m_settings.id }, { "mesh", m_settings.meshAddress.text() },
                { "operators", m_settings.operatorAddress.text() } });
    }

    ~Impl() override { stop(); }

    void stop()
    {
        if (std::exchange(m_stopped, true))
            return;
        base::logInfo("control.draining", { { "id", m_settings.id } });
        drainApi();
        m_tickTimer.reset();
        m_metricsTimer.reset();
        m_sourceTimer.reset();
        m_apiThread.stop();
        m_network.stop();
        m_timers.reset();
        m_diskWriter.stop();
        m_decisionThread.stop();
        base::logInfo("control.stopped", { { "id", m_settings.id } });
    }

    void reload(const ControlSettings& settings)
    {
        for (const auto& it : settings.members) {
            if (settings.usesDiscovery && it.id != m_settings.id)
                m_network.connectMember(it.id);
        }
        boost::asio::post(m_decisionThread.context(), [this, names = settings.dataCentres] {
            base::runIsolated("control.settings", [&] { m_core->setDataCentres(names); });
        });
        base::logInfo("settings.reloaded", { { "id", m_settings.id }, { "seeds", settings.members.size() } });
    }

    // ---- ControlOutputs, on the decision thread ----

    void sendToMember(const std::string& member, links::Kind kind, std::string payload) override
    {
        m_network.send({ true, member, kind, std::move(payload) });
    }

    void sendToNode(const std::string& node, links::Kind kind, std::string payload) override
    {
        m_network.send({ false, node, kind, std::move(payload) });
    }

    void connectMember(const std::string& member) override { m_network.connectMember(member); }

    bool persist(DiskWork work) override { return m_diskWriter.enqueue(std::move(work)); }

    // ---- ControlBackend, on the API thread ----

    void submit(wire::Command command, CommandDone done) override
    {
        auto reply = [this, done](const wire::CommandResult& result) { postToApi([done, result] { done(result); }); };
        bool queued = m_apiRequests.tryPut([this, command = std::move(command), reply] {
            m_core->submit(command, reply, m_clock.now(), m_clock.wallMs());
        });
        if (!queued)
            done(busyResult());
    }

    void view(operators::View view, const std::string& name, size_t limit, ViewDone done) override
    {
        bool queued = m_apiRequests.tryPut([this, view, name, limit, done] {
            // Status and members describe this host itself, so they are served without a barrier, also while it is
            // partitioned from the leader.
            bool isLocal = view == operators::View::Status || view == operators::View::Members;
            if (isLocal)
                return sendView(view, name, limit, done);
            m_core->readBarrier(
                [this, view, name, limit, done](bool current) {
                    if (current)
                        return sendView(view, name, limit, done);
                    postToApi([done] { done(STATUS_UNAVAILABLE, STALE_BODY); });
                },
                m_clock.now());
        });
        if (!queued)
            done(429, R"({"error":"busy","message":"too many requests","remedy":"try again later"})");
    }

    void changeMembers(wire::Membership next, std::function<void(bool)> done) override
    {
        bool queued = m_apiRequests.tryPut([this, next = std::move(next), done] {
            bool accepted = m_core->changeMembers(next, m_clock.now());
            postToApi([done, accepted] { done(accepted); });
        });
        if (!queued)
            done(false);
    }

private:
    void sendView(operators::View view, const std::string& name, size_t limit, const ViewDone& done)
    {
        ViewResponse answer { STATUS_INTERNAL_ERROR, INTERNAL_ERROR_BODY };
        base::runIsolated("control.view", [&] { answer = renderView(*m_core, view, name, limit); });
        postToApi([done, answer] { done(answer.status, answer.json); });
    }

    void postToApi(std::function<void()> task)
    {
        boost::asio::post(
            m_apiThread.context(), [task = std::move(task)] { base::runIsolated("control.answer", task); });
    }

    static wire::CommandResult busyResult()
    {
        wire::CommandResult out;
        out.code = wire::ResultCode::BUSY;
        out.message = "too many requests are waiting";
        out.remedy = "send it again later with the same request id";
        return out;
    }

    wire::Membership bootstrapMembership() const
    {
        wire::Membership out;
        // Hosts may list their seeds in different orders, but must bootstrap with the same membership.
        for (const auto& it : m_settings.members)
            out.voters.push_back(it.id);
        std::sort(out.voters.begin(), out.voters.end());
        return out;
    }

    void handleNetworkEvent(NetworkEvent event)
    {
        base::runIsolated("control.frame", [&] {
            try {
                dispatch(event);
            } catch (const base::UserError& e) {
                base::logWarn("frame.refused", { { "peer", event.peer }, { "error", e.what() } });
            }
        });
    }

    void dispatch(const NetworkEvent& event)
    {
        auto now = m_clock.now();
        switch (event.kind) {
        case NetworkEvent::Kind::MemberFrame:
            return m_core->handleMemberFrame(event.peer, event.frameKind, event.payload, now, m_clock.wallMs());
        case NetworkEvent::Kind::NodeFrame:
            return m_core->handleNodeFrame(event.peer, event.frameKind, event.payload, now, m_clock.wallMs());
        case NetworkEvent::Kind::MemberConnected:
            return m_core->handleMemberConnected(event.peer);
        case NetworkEvent::Kind::NodeDisconnected:
            return m_core->handleNodeDisconnected(event.peer, now);
        }
    }

    void startSourcePolling()
    {
        if (!m_settings.sourceAddress)
            return;
        m_sourcePoller = std::make_unique<SourcePoller>(
            config::makeHttpSource(m_decisionThread.context(), *m_settings.sourceAddress),
            [this](wire::Command command) {
                m_core->submit(
                    std::move(command), [](const wire::CommandResult&) {}, m_clock.now(), m_clock.wallMs());
            });
        m_sourceTimer = m_timers->subscribe(m_decisionThread.context(), m_settings.sourcePeriod, [this] {
            m_sourcePoller->tick(m_core->replica().hasCommittedInTerm(), m_core->machine().highestSourceSequence());
        });
    }

    void updateGauges()
    {
        m_versionGauge->set(static_cast<double>(m_core->machine().state().version()));
        m_leaderGauge->set(m_core->replica().isLeader() ? 1 : 0);
        m_evacuationsGauge->set(static_cast<double>(m_core->machine().state().evacuatedDataCentres().size()));
        m_sentGauge->set(static_cast<double>(m_network.traffic().sent));
        m_receivedGauge->set(static_cast<double>(m_network.traffic().received));
    }

    void drainApi()
    {
        auto drained = std::make_shared<std::promise<void>>();
        auto future = drained->get_future();
        boost::asio::post(m_apiThread.context(),
            [this, drained] { m_operatorServer->drain(DRAIN_GRACE_PERIOD, [drained] { drained->set_value(); }); });
        if (future.wait_for(DRAIN_TIMEOUT) == std::future_status::ready)
            return;
        boost::asio::post(m_decisionThread.context(), [this] { m_core->endRequests(); });
        future.wait_for(ANSWER_TIMEOUT);
    }

    ControlSettings m_settings;
    base::SystemClock m_clock;
    std::unique_ptr<host::Disk> m_dataFolder;
    members::LogStore m_store;
    base::EventLoopThread m_decisionThread;
    base::EventLoopThread m_apiThread;
    base::Mailbox<NetworkEvent> m_networkEvents;
    base::Mailbox<DiskResult> m_diskResults;
    base::Mailbox<std::function<void()>> m_apiRequests;
    std::unique_ptr<ControlCore> m_core;
    MemberNetwork m_network;
    DiskWriter m_diskWriter;
    std::unique_ptr<http::HttpHandler> m_operatorHandler;
    std::unique_ptr<http::HttpServer> m_operatorServer;
    std::unique_ptr<host::Metrics> m_metrics;
    std::shared_ptr<host::Gauge> m_versionGauge;
    std::shared_ptr<host::Gauge> m_leaderGauge;
    std::shared_ptr<host::Gauge> m_evacuationsGauge;
    std::shared_ptr<host::Gauge> m_sentGauge;
    std::shared_ptr<host::Gauge> m_receivedGauge;
    std::unique_ptr<base::TimerService> m_timers;
    std::unique_ptr<base::TimerSubscription> m_tickTimer;
    std::unique_ptr<base::TimerSubscription> m_metricsTimer;
    std::unique_ptr<SourcePoller> m_sourcePoller;
    std::unique_ptr<base::TimerSubscription> m_sourceTimer;
    bool m_stopped { false };
};

ControlHost::ControlHost(ControlSettings settings, members::EmptyFolderMode emptyFolderMode,
    const operators::OperatorHandlerFactory& handlerFactory)
    : m_impl(std::make_unique<Impl>(std::move(settings), emptyFolderMode, handlerFactory))
{
}

void ControlHost::reload(const ControlSettings& settings) { m_impl->reload(settings); }

ControlHost::~ControlHost() = default;

void ControlHost::stop() { m_impl->stop(); }

} // namespace pomelowind::control
