// The way of a call through the caller's node: route, limit, claim, choose a target, send, retry where that is safe,
// answer with what became of the request. Calls of other nodes to targets of this host pass through here too.
//
// handle -> admit -> (claim) -> dispatch -> answered -> finish
#pragma once

#include "Claimer.h"
#include "LocalTargets.h"
#include "PeerCalls.h"
#include "pomelowind/callers/AccountLimiter.h"
#include "pomelowind/callers/EvidenceRecorder.h"
#include "pomelowind/callers/PatienceEstimator.h"
#include "pomelowind/callers/RetryAdvice.h"
#include "pomelowind/callers/VersionSplitter.h"
#include "pomelowind/callers/WeightedSplitter.h"
#include "pomelowind/http/HttpServer.h"
#include "pomelowind/moves/EvidenceBook.h"
#include "pomelowind/node/CallProtocol.h"
#include "pomelowind/targets/Balancer.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace pomelowind::node {

// Counts of a node's calls since its start.
struct CallCounts {
    uint64_t calls { 0 };
    uint64_t notRun { 0 };
    uint64_t unknown { 0 };
    uint64_t retries { 0 };
    uint64_t limited { 0 };
    uint64_t replayed { 0 };
};

// Thread safety: confined to the calls duty.
class CallPath final : public http::HttpHandler, public PeerRequests {
public:
    // Takes evidence and alarms of this node for its parent.
    using Observe = std::function<void(wire::Report)>;

    // Binds the caller and call addresses.
    CallPath(boost::asio::io_context& io, const NodeSettings& settings, const CallProtocol& protocol,
        const base::Clock& clock, Observe observe, uint64_t seed);

    void takeView(MeshViewPtr view);
    void takeLocalTargets(const std::vector<Announcement>& targets) { m_local.update(targets); }
    // Ends what has waited too long; every few milliseconds.
    void sweep();
    // Hands counts to the parent and judges them for local protection; every 250 ms.
    void reportEvidence();
    // Begins the planned stop; `done` is called when no call is left.
    void drain(std::function<void()> done);
    void close();
    // Receives the seconds from each call's arrival to its answer.
    void recordLatency(std::function<void(double)> record) { m_recordLatency = std::move(record); }
    const CallCounts& counts() const { return m_counts; }
    size_t running() const { return m_local.running(); }
    // Sent to other nodes for calls and claims since the start.
    uint64_t bytesBetweenNodes() const { return m_peers.traffic().sent; }

    void handle(http::HttpRequest request, std::shared_ptr<http::HttpReply> reply) override;
    void onCall(const void* origin, wire::CallRequest request, std::function<void()> granted, CallDone done) override;
    void onBody(const void* origin, int64_t id, std::string_view part) override;
    void onCancel(const void* origin, int64_t id) override;
    void onOriginClosed(const void* origin) override;
    wire::ClaimAnswer onClaim(const wire::ClaimRequest& request) override;

private:
    struct Call;
    using CallPtr = std::shared_ptr<Call>;
    struct Watch {
        std::string moveId;
        std::unique_ptr<moves::EvidenceBook> book;
    };

    bool admit(const CallPtr& call);
    std::optional<base::Instant> objectiveOf(const CallPtr& call);
    void advise(const CallPtr& call, wire::CallAnswer& answer);
    bool refuseEarly(const CallPtr& call, int status, const std::string& error, const std::string& message,
        const std::string& remedy);
    void claim(const CallPtr& call);
    void claimed(const CallPtr& call, const ClaimOutcome& outcome);
    void dispatch(const CallPtr& call);
    std::set<std::string> unreachableTargets() const;
    std::optional<targets::Placement> chooseTarget(const CallPtr& call);
    void send(const CallPtr& call, const targets::Placement& placement);
    void answered(const CallPtr& call, const wire::Presence& target, base::Instant sentAt, wire::CallAnswer answer);
    void observe(
        const CallPtr& call, const wire::Presence& target, base::Micros latency, const wire::CallAnswer& answer);
    bool mayRetry(const CallPtr& call, const wire::CallAnswer& answer);
    void finish(const CallPtr& call, wire::CallAnswer answer);
    void reply(const CallPtr& call, const wire::CallAnswer& answer);
    void cancelled(const CallPtr& call);
    void judgeMoves(const std::vector<wire::EvidenceCell>& cells, wire::Report& report);

    void applyLimits();
    double retryBurst() const;
    base::TokenBucket& retryBudget(const std::string& service);
    void logCall(const CallPtr& call, const char* event, const wire::CallAnswer& answer) const;

    const NodeSettings& m_settings;
    const CallProtocol& m_protocol;
    const base::Clock& m_clock;
    Observe m_observe;
    MeshViewPtr m_view;
    base::MemoryBudgetPtr m_bodyMemory;
    PeerCalls m_peers;
    LocalTargets m_local;
    Claimer m_claimer;
    callers::AccountLimiter m_limiter;
    callers::VersionSplitter m_splitter;
    callers::EvidenceRecorder m_evidence;
    targets::Balancer m_balancer;
    base::Random m_random;
    base::Instant m_started;
    callers::PatienceEstimator m_patience;
    std::map<std::string, double> m_refusalShare; // by service: part of the recent tries that met a full gate
    int64_t m_limitsRelease { 0 }; // release whose caller bounds the server applies
    callers::WeightedSplitter m_weights;
    std::map<std::string, base::TokenBucket> m_retryBudgets; // by service
    std::map<std::string, Watch> m_watches; // by service
    std::map<std::pair<const void*, int64_t>, uint64_t> m_remoteCalls;
    std::unique_ptr<http::HttpServer> m_server;
    CallCounts m_counts;
    std::function<void(double)> m_recordLatency;
    size_t m_open { 0 };
    std::function<void()> m_drained;
    bool m_serverDrained { false };
};

} // namespace pomelowind::node
