// Carries a call through the caller's node: routing, rate limit, claim of the idempotency key, choice of a target,
// sending, retries where they are safe, and the response with the outcome. It also serves calls that other nodes send
// to targets of this host.
//
// Flow: handle -> admit (identify, checkBounds, limit) -> (startClaim) -> dispatch -> onAnswer -> finish
#pragma once

#include "ClaimCoordinator.h"
#include "Evacuations.h"
#include "LocalTargets.h"
#include "PeerCalls.h"
#include "pomelowind/callers/AccountLimiter.h"
#include "pomelowind/callers/AccountQuota.h"
#include "pomelowind/callers/ElapsedTimeEstimator.h"
#include "pomelowind/callers/EvidenceRecorder.h"
#include "pomelowind/callers/RetryAdvice.h"
#include "pomelowind/callers/VersionSplitter.h"
#include "pomelowind/callers/WeightedSplitter.h"
#include "pomelowind/http/HttpServer.h"
#include "pomelowind/moves/EvidenceAggregator.h"
#include "pomelowind/node/CallProtocol.h"
#include "pomelowind/targets/Balancer.h"
#include "pomelowind/targets/CrashSuspects.h"
#include "pomelowind/targets/NoticeMemory.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace pomelowind::node {

// Counters of a node's calls since its start.
struct CallCounts {
    uint64_t calls { 0 }; // received from callers
    uint64_t notRun { 0 }; // answered as not run
    uint64_t unknown { 0 }; // answered with an unknown outcome
    uint64_t retries { 0 }; // attempts after the first
    uint64_t limited { 0 }; // refused because of the client account's rate limit
    uint64_t overQuota { 0 }; // refused because of the client account's limit over all nodes
    uint64_t overEqualPart { 0 }; // of these, without contact to the leader
    uint64_t unauthorized { 0 }; // refused because the call carries no known key of a client account
    uint64_t withoutLease { 0 }; // refused because this node cannot prove that its configuration is recent
    uint64_t blocked { 0 }; // refused because the call crashes its targets
    uint64_t replayed { 0 }; // answered with the stored answer of an earlier attempt
};

// Thread safety: confined to the calls event loop.
class CallPath final : public http::HttpHandler, public PeerRequestHandler {
public:
    // Receives evidence and alarms of this node, to be sent to its parent.
    using ReportSink = std::function<void(wire::Report)>;

    // Binds the caller and call addresses.
    CallPath(boost::asio::io_context& io, const NodeSettings& settings, const CallProtocol& protocol,
        const base::Clock& clock, ReportSink reportSink, uint64_t seed);

    // Replaces the configuration and presence that new calls use.
    void setView(MeshViewPtr view);
    void setLocalTargets(const std::vector<Announcement>& targets) { m_localTargets.update(targets); }
    // Sets the function that learns of targets of this host that have said in a response that they leave.
    void setLeavingListener(LeavingListener listener) { m_localTargets.setLeavingListener(std::move(listener)); }
    // Ends calls and claims that have timed out. To be called every few milliseconds.
    void sweep();
    // Passes the evidence of the last period on to the parent and stops using candidate versions that this node alone
    // has proved bad. To be called every 250 ms.
    void reportEvidence();
    // Passes the calls of client accounts on to the parent. To be called every AccountQuota::REPORT_PERIOD.
    void reportUsage();
    // Begins a graceful shutdown that ends after NodeSettings::stopTimeout at the latest: calls that may run longer are
    // refused from now on. `done` is called when no call is left.
    void drain(std::function<void()> done);
    // Answers all calls now: those that a target may run as unknown, the others as not run. Calls that arrive later are
    // refused as not run. Precondition: draining.
    void endCalls();
    void close();
    // Sets the function that receives the seconds from each call's arrival to its answer.
    void setLatencyRecorder(std::function<void(double)> recorder) { m_latencyRecorder = std::move(recorder); }
    const CallCounts& counts() const { return m_counts; }
    // Time for which keys of client accounts are honoured without a further proof; unset where no leases are asked for.
    std::optional<base::Millis> leaseLeft() const;
    // Calls at the targets of this host, running or queued.
    size_t localCallCount() const { return m_localTargets.callCount(); }
    // The targets of this host, for their metrics.
    const LocalTargets& localTargets() const { return m_localTargets; }
    const Evacuations& evacuations() const { return m_evacuations; }
    // Number of other nodes to which a link is ready.
    size_t connectedPeers() const { return m_peers.connectedPeers(); }
    // Bytes held for callers, see NodeSettings::bodyMemoryBytes.
    size_t callerMemoryBytes() const { return m_bodyMemory->reservedBytes(); }
    const http::HttpServer& callerServer() const { return *m_server; }
    // Bytes sent to other nodes for calls and claims since the start.
    uint64_t bytesBetweenNodes() const { return m_peers.traffic().sent; }

    void handle(http::HttpRequest request, std::shared_ptr<http::HttpReply> reply) override;
    // Calls of idempotent routes may overlap.
    bool mayOverlap(const http::HttpRequest& request) const override;
    void onCall(
        const void* origin, wire::CallRequest request, std::function<void()> onGranted, CallCallback done) override;
    void onBody(const void* origin, int64_t id, std::string_view part) override;
    void onCancel(const void* origin, int64_t id) override;
    void onOriginClosed(const void* origin) override;
    wire::ClaimAnswer onClaim(const wire::ClaimRequest& request) override;

private:
    struct Call;
    using CallPtr = std::shared_ptr<Call>;
    // Local evidence about the candidate version of a service's move.
    struct MoveWatch {
        std::string moveId;
        std::unique_ptr<moves::EvidenceAggregator> aggregator;
    };

    // The stages before placement. They return false when they have ended the call.
    bool admit(const CallPtr& call);
    bool identify(const CallPtr& call);
    bool limitOverNodes(const CallPtr& call);
    bool checkKey(const CallPtr& call, const wire::Route& route);
    bool checkBounds(const CallPtr& call);
    bool limit(const CallPtr& call);
    std::optional<base::Instant> objectiveOf(const CallPtr& call);
    void setRetryAdvice(const CallPtr& call, wire::CallAnswer& answer);
    bool rejectCall(const CallPtr& call, int status, const std::string& error, const std::string& message,
        const std::string& remedy);
    void startClaim(const CallPtr& call);
    void onClaimDecided(const CallPtr& call, const ClaimOutcome& outcome);
    void dispatch(const CallPtr& call);
    uint64_t fingerprintOf(const CallPtr& call);
    bool mayCrashTargets(const CallPtr& call);
    bool refuseIfBlocked(const CallPtr& call);
    void clearSuspicion(const CallPtr& call);
    void updateCrashes();
    std::set<std::string> unreachableTargets() const;
    std::optional<targets::Placement> chooseTarget(const CallPtr& call);
    int gatePriority(const CallPtr& call) const;
    void send(const CallPtr& call, const targets::Placement& placement);
    void onAnswer(const CallPtr& call, const wire::Presence& target, base::Instant sentAt, wire::CallAnswer answer);
    void recordOutcome(
        const CallPtr& call, const wire::Presence& target, base::Micros latency, const wire::CallAnswer& answer);
    void recordNotice(const wire::Presence& target, const wire::CallAnswer& answer);
    bool mayRetry(const CallPtr& call, const wire::CallAnswer& answer);
    void finish(const CallPtr& call, wire::CallAnswer answer);
    void creditBack(const CallPtr& call, const wire::CallAnswer& answer);
    void updateQuota();
    void reply(const CallPtr& call, const wire::CallAnswer& answer);
    void onCancelled(const CallPtr& call);
    void evaluateMoves(const std::vector<wire::EvidenceCell>& cells, wire::Report& report);

    void applyServerLimits();
    void applyEvacuations();
    double retryBurst() const;
    base::TokenBucket& retryBudget(const std::string& service);
    void logCall(const CallPtr& call, const char* event, const wire::CallAnswer& answer) const;

    const NodeSettings& m_settings;
    const CallProtocol& m_protocol;
    const base::Clock& m_clock;
    ReportSink m_reportSink;
    MeshViewPtr m_view;
    base::MemoryBudgetPtr m_bodyMemory;
    PeerCalls m_peers;
    LocalTargets m_localTargets;
    Evacuations m_evacuations;
    ClaimCoordinator m_claimCoordinator;
    callers::AccountLimiter m_accountLimiter;
    callers::AccountQuota m_quota;
    std::shared_ptr<const std::vector<wire::AccountRatio>> m_accountRatios; // as m_quota has them
    callers::VersionSplitter m_versionSplitter;
    callers::EvidenceRecorder m_evidence;
    targets::Balancer m_balancer;
    targets::NoticeMemory m_notices;
    targets::CrashSuspects m_crashSuspects;
    std::shared_ptr<const nodes::CrashList> m_knownCrashes;
    base::Random m_random;
    base::Instant m_startedAt;
    callers::ElapsedTimeEstimator m_elapsedTimeEstimator;
    // By service: moving average of the ratio of attempts that a gate refused.
    std::map<std::string, double> m_refusalRatio;
    int64_t m_limitsRelease { 0 }; // number of the release whose limits the caller server applies
    callers::WeightedSplitter m_weightedSplitter;
    std::map<std::string, base::TokenBucket> m_retryBudgets; // by service
    std::map<std::string, MoveWatch> m_moveWatches; // by service
    // Calls of other nodes: origin and its id of the call -> local id.
    std::map<std::pair<const void*, int64_t>, uint64_t> m_remoteCalls;
    std::unique_ptr<http::HttpServer> m_server;
    CallCounts m_counts;
    std::function<void(double)> m_latencyRecorder;
    size_t m_openCalls { 0 }; // callers' calls that have no answer yet
    std::function<void()> m_onDrained; // called once when the last call has ended
    bool m_serverDrained { false };
    bool m_isEnding { false };
    std::optional<base::Instant> m_lastDeadline; // set while draining: latest deadline of a call that is accepted
};

} // namespace pomelowind::node
