// Calls and claims between nodes. Requests carry ids and are multiplexed over one long-lived link per peer, so that no
// call pays for a new connection and a late answer can only be matched to its own request.
#pragma once

#include "pomelowind/base/MemoryBudget.h"
#include "pomelowind/links/LinkDialer.h"
#include "pomelowind/links/LinkServer.h"
#include "pomelowind/node/NodeSettings.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace pomelowind::node {

using BodyPtr = std::shared_ptr<const std::string>;
using CallCallback = std::function<void(wire::CallAnswer)>;
using ClaimCallback = std::function<void(std::optional<wire::ClaimAnswer>)>;

// Serves the requests of other nodes, on the calls event loop. `origin` identifies the link; together with the
// request's id it identifies a call.
class PeerRequestHandler {
public:
    virtual ~PeerRequestHandler() = default;
    // `onGranted` is called at most once, when the peer may send the call's body; the body then arrives through
    // onBody(). `done` receives the answer.
    virtual void onCall(
        const void* origin, wire::CallRequest request, std::function<void()> onGranted, CallCallback done)
        = 0;
    // Receives the next part of a call's body. Throws UserError(Protocol) when the body exceeds the announced length.
    virtual void onBody(const void* origin, int64_t id, std::string_view part) = 0;
    virtual void onCancel(const void* origin, int64_t id) = 0;
    // The link `origin` has closed.
    virtual void onOriginClosed(const void* origin) = 0;
    virtual wire::ClaimAnswer onClaim(const wire::ClaimRequest& request) = 0;
};

// Sends calls and claims to other nodes and dispatches theirs to PeerRequestHandler. Thread safety: confined to the
// calls event loop.
class PeerCalls final : public links::LinkListener {
public:
    // Binds the call address.
    PeerCalls(boost::asio::io_context& io, const NodeSettings& settings, const base::Clock& clock,
        PeerRequestHandler& requestHandler, base::MemoryBudgetPtr bodyMemory = nullptr);

    // Sends a call to the node at `address` and returns an id for cancel(). `done` is called once: with NOT_RUN when
    // the call was never sent, with UNKNOWN when the link was lost or `budget` expired after it was sent. A large body
    // follows the request when the gate there has granted it a queue slot; until all of it is sent the call cannot have
    // run. With `mayAbandon`, a call to a peer that has become silent ends as UNKNOWN before its budget expires; use it
    // only for calls that may be sent again elsewhere.
    int64_t call(const std::string& address, wire::CallRequest request, BodyPtr body, base::Millis budget,
        bool mayAbandon, base::Instant now, CallCallback done);
    // Sends a claim request. `done` gets nullopt when no answer came within `budget`.
    void claim(const std::string& address, wire::ClaimRequest request, base::Millis budget, base::Instant now,
        ClaimCallback done);
    // Cancels a call at the other node and forgets it without calling its `done`. No effect when it has ended.
    void cancel(int64_t id);
    // Ends all requests in flight with `reason`: as unknown if they were sent, and also cancelled at the peer; else as
    // not run. Calls back before it returns.
    void endRequests(const std::string& reason);
    // Addresses of nodes that are silent or cannot be connected, as of the last sweep. They are retried until they
    // answer.
    const std::set<std::string>& unreachable() const { return m_unreachable; }
    // Number of nodes to which a link is ready.
    size_t connectedPeers() const;
    // Pings silent peers and ends requests that have timed out. To be called every few milliseconds.
    void sweep(base::Instant now);
    void close();
    const links::TrafficCounters& traffic() const { return m_traffic; }

    void linkReady(const std::shared_ptr<links::Link>& link) override;
    void linkFrameReceived(
        const std::shared_ptr<links::Link>& link, links::Kind kind, std::string_view payload) override;
    void linkDrained(const std::shared_ptr<links::Link>& link) override;
    void linkClosed(const std::shared_ptr<links::Link>& link, const std::string& reason) override;

private:
    void reserveQueues();
    // A request that waits for its link to connect.
    struct QueuedRequest {
        links::Kind kind;
        std::string payload;
        int64_t id;
    };
    struct Peer {
        std::shared_ptr<links::LinkDialer> dialer;
        std::vector<QueuedRequest> queued;
        std::deque<int64_t> bodyQueue; // calls whose body is being sent, in round-robin order
        size_t unanswered { 0 }; // requests that were sent and have not ended
        base::Instant lastReceivedAt; // when the last frame was received
        int unansweredPings { 0 }; // since the last frame was received
        base::Instant pingSentAt; // when the last ping was sent; unset when a frame has been received since
    };
    struct Pending {
        std::string address;
        bool mayAbandon { false };
        std::weak_ptr<links::Link> link; // unset until the request is sent
        bool sent { false };
        BodyPtr deferredBody; // sent once the gate has granted a queue slot; null when the request holds the body
        size_t bodySent { 0 };
        // True while part of the body is unsent. The call cannot run before that.
        bool isIncomplete() const { return deferredBody && bodySent < deferredBody->size(); }
        CallCallback callDone;
        ClaimCallback claimDone;
        base::Instant deadline;
    };

    // Returns the peer, or null when the address cannot be used.
    Peer* peer(const std::string& address);
    int64_t addPending(Pending pending);
    void sendOrQueue(const std::string& address, links::Kind kind, std::string payload, int64_t id);
    void failPending(int64_t id, wire::Outcome::type outcome, const std::string& reason, bool timedOut = false);
    void failQueued(Peer& peer, const std::string& reason);
    void sendBodies(Peer& peer);
    void pingIfSilent(Peer& peer, base::Instant now);
    void abandonCalls(const std::string& address);
    void setReachable(const std::string& address, bool reachable);
    static void sendCancel(int64_t id, const Pending& pending);
    // Removes a pending request and returns it.
    Pending removePending(std::unordered_map<int64_t, Pending>::iterator it);
    static bool isSilent(const Peer& peer, base::Instant now);
    Peer* findPeer(const std::shared_ptr<links::Link>& link);

    boost::asio::io_context& m_io;
    links::Identity m_identity;
    const base::Clock& m_clock;
    PeerRequestHandler& m_requestHandler;
    links::TrafficCounters m_traffic;
    std::set<std::weak_ptr<links::Link>, std::owner_less<>> m_answeringLinks; // on which answers may still wait
    base::MemoryReservation m_queueReservation; // of what waits on them
    std::unique_ptr<links::LinkServer> m_server;
    std::map<std::string, Peer> m_peers;
    std::set<std::string> m_unreachable;
    std::unordered_map<int64_t, Pending> m_pending;
    std::multimap<base::Instant, int64_t> m_deadlines;
    int64_t m_nextId { 1 };
};

} // namespace pomelowind::node
