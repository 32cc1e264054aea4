#include "CallState.h"
#include "CallerLimits.h"
#include "ColdRates.h"
#include "pomelowind/base/Log.h"

#include <algorithm>

namespace pomelowind::node {

using base::Millis;

namespace {

    // Ratio of the mesh-wide retry burst that the nodes' buckets hold together; the rest covers nodes that restart with
    // a full bucket.
    constexpr double RETRY_SLACK_RATIO = 0.5;
    // Evidence threshold for a decision by this node alone: higher than the one that the control hosts use for the
    // whole mesh.
    constexpr double LOCAL_EVIDENCE_THRESHOLD = 11.5;
    // Time from a call's deadline until its answer has left, sent by a sweep of this node or of the target's.
    constexpr auto ANSWER_MARGIN = Millis(100);

}

CallPath::CallPath(boost::asio::io_context& io, const NodeSettings& settings, const CallProtocol& protocol,
    const base::Clock& clock, ReportSink reportSink, uint64_t seed)
    : m_settings(settings)
    , m_protocol(protocol)
    , m_clock(clock)
    , m_reportSink(std::move(reportSink))
    , m_view(std::make_shared<MeshView>())
    , m_bodyMemory(std::make_shared<base::MemoryBudget>(static_cast<size_t>(settings.bodyMemoryBytes)))
    , m_peers(io, settings, clock, *this, m_bodyMemory)
    , m_localTargets(io, settings, protocol, clock, m_bodyMemory)
    , m_evacuations(settings.dataCentre)
    , m_claimCoordinator(settings, m_peers, clock)
    , m_quota(settings.quota)
    , m_balancer(settings.dataCentre, seed, { settings.crossingMsPerKilobyte })
    , m_crashSuspects(settings.id)
    , m_random(seed + 1)
    , m_startedAt(clock.now())
    , m_elapsedTimeEstimator(m_startedAt)
    , m_weightedSplitter(seed + 2)
{
    m_localTargets.setCrashListener([this](wire::TargetCrash crash) {
        wire::Report report;
        report.crashes.push_back(std::move(crash));
        m_reportSink(std::move(report));
    });
    m_server = http::makeHttpServer(io, settings.callerAddress, callerLimits(settings, nullptr), *this, m_bodyMemory);
}

void CallPath::setView(MeshViewPtr view)
{
    m_view = std::move(view);
    applyServerLimits();
    applyEvacuations();
    updateCrashes();
    updateQuota();
    m_balancer.retain(*m_view->targets);
    m_balancer.setCold(*m_view->targets, m_view->targetsAt, coldRates(*m_view->config));
    m_notices.retain(*m_view->targets, m_clock.now());
    for (auto& [service, budget] : m_retryBudgets)
        budget.setBurst(retryBurst());
    for (const auto* service : m_view->config->services()) {
        auto& watch = m_moveWatches[service->name];
        if (watch.moveId == service->moveId)
            continue;
        watch.moveId = service->moveId;
        moves::EvidenceOptions options;
        options.decisionThreshold = LOCAL_EVIDENCE_THRESHOLD;
        watch.aggregator = service->moveId.empty()
            ? nullptr
            : std::make_unique<moves::EvidenceAggregator>(service->candidate, service->stable, options);
    }
}

std::optional<Millis> CallPath::leaseLeft() const
{
    if (!m_view->keysHonouredUntil)
        return std::nullopt;
    return std::max(Millis(0), std::chrono::floor<Millis>(*m_view->keysHonouredUntil - m_clock.now()));
}

void CallPath::applyServerLimits()
{
    const auto* release = m_view->config->release();
    if (!release || release->number == m_limitsRelease)
        return;
    m_limitsRelease = release->number;
    m_server->setLimits(callerLimits(m_settings, release));
    base::logInfo(
        "callers.limits_applied", { { "release", release->number }, { "header_bytes", release->headerBytes } });
}

// The targets to choose from change before the gates refuse queued calls, so that these are not sent back here.
void CallPath::applyEvacuations()
{
    auto before = m_evacuations.dataCentres();
    auto change = m_evacuations.update(*m_view);
    if (before != m_evacuations.dataCentres())
        base::logInfo("evacuations.applied",
            { { "version", m_view->config->version() }, { "data_centres", m_evacuations.dataCentres().size() },
                { "excluded_targets", m_evacuations.excludedTargets().size() } });
    if (change.closed)
        m_localTargets.closeGates("the data centre of the target is evacuated");
    if (change.evacuationEnded)
        m_localTargets.onEvacuationEnded();
    if (change.opened)
        m_localTargets.openGates();
}

// Nodes do not exchange their retry counts, so each keeps to an equal part of the mesh-wide burst. The number of
// targets stands in for the number of nodes, which is about the same.
double CallPath::retryBurst() const
{
    if (m_settings.retrySlack <= 0)
        return m_settings.retryBurst;
    auto nodes = static_cast<double>(std::max<size_t>(1, m_view->targets ? m_view->targets->size() : 1));
    return std::max(1.0, RETRY_SLACK_RATIO * m_settings.retrySlack / nodes);
}

base::TokenBucket& CallPath::retryBudget(const std::string& service)
{
    auto it = m_retryBudgets.find(service);
    if (it == m_retryBudgets.end())
        it = m_retryBudgets.emplace(service, base::TokenBucket(m_settings.retryReserve, retryBurst(), m_clock.now()))
                 .first;
    return it->second;
}

// ---- periodic work ----

void CallPath::sweep()
{
    auto now = m_clock.now();
    m_peers.sweep(now);
    m_claimCoordinator.sweep(now);
    m_localTargets.sweep();
    if (m_onDrained && m_serverDrained && m_openCalls == 0 && m_localTargets.callCount() == 0) {
        auto done = std::move(m_onDrained);
        m_onDrained = nullptr;
        done();
    }
}

void CallPath::reportEvidence()
{
    wire::Report report;
    report.evidence = m_evidence.takeCounts();
    evaluateMoves(report.evidence, report);
    if (!report.evidence.empty() || !report.alarms.empty())
        m_reportSink(std::move(report));
}

// Stops sending calls to a candidate version as soon as this node's own evidence proves it bad, without waiting for the
// leader, and raises an alarm.
void CallPath::evaluateMoves(const std::vector<wire::EvidenceCell>& cells, wire::Report& report)
{
    for (auto& [service, watch] : m_moveWatches) {
        if (!watch.aggregator || m_versionSplitter.isSuppressed(watch.moveId))
            continue;
        std::vector<wire::EvidenceCell> own;
        for (const auto& it : cells) {
            if (it.serviceName == service)
                own.push_back(it);
        }
        watch.aggregator->add(own);
        watch.aggregator->closeBatch();
        auto summary = watch.aggregator->summary();
        if (!summary.isBad)
            continue;
        m_versionSplitter.suppress(watch.moveId);
        wire::Alarm alarm;
        alarm.moveId = watch.moveId;
        alarm.node = m_settings.id;
        alarm.reason = summary.reason;
        report.alarms.push_back(alarm);
        base::logWarn("move.suppressed", { { "move", watch.moveId }, { "reason", summary.reason } });
    }
}

void CallPath::drain(std::function<void()> done)
{
    m_onDrained = std::move(done);
    m_lastDeadline = m_clock.now() + std::max(Millis(0), m_settings.stopTimeout - ANSWER_MARGIN);
    m_localTargets.setLastDeadline(*m_lastDeadline);
    m_server->drain(m_settings.drainGrace, [this] {
        m_serverDrained = true;
        m_localTargets.startDraining();
    });
}

void CallPath::endCalls()
{
    m_isEnding = true;
    m_localTargets.endCalls();
    m_peers.endRequests("this node stops");
}

void CallPath::close()
{
    m_server->close();
    m_peers.close();
}

} // namespace pomelowind::node
