// Calls and claims between nodes: requests with ids, multiplexed over few long-lived links, so that no call pays for a
// new connection and a late answer can only meet its own request.
#pragma once

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
using CallDone = std::function<void(wire::CallAnswer)>;
using ClaimDone = std::function<void(std::optional<wire::ClaimAnswer>)>;

// Serves the requests of other nodes, on the calls duty. `origin` and the request's id together name a call.
class PeerRequests {
public:
    virtual ~PeerRequests() = default;
    // `granted` is called once when the call's body may be sent, which then comes through onBody.
    virtual void onCall(const void* origin, wire::CallRequest request, std::function<void()> granted, CallDone done)
        = 0;
    // Throws UserError(Protocol) when there is more body than the request has announced.
    virtual void onBody(const void* origin, int64_t id, std::string_view part) = 0;
    virtual void onCancel(const void* origin, int64_t id) = 0;
    // Nothing more will come from `origin`.
    virtual void onOriginClosed(const void* origin) = 0;
    virtual wire::ClaimAnswer onClaim(const wire::ClaimRequest& request) = 0;
};

// Thread safety: confined to the calls duty.
class PeerCalls final : public links::LinkListener {
public:
    // Binds the call address.
    PeerCalls(
        boost::asio::io_context& io, const NodeSettings& settings, const base::Clock& clock, PeerRequests& requests);

    // Sends a call to the node at `address`. `done` is called once: NOT_RUN when it was never sent, UNKNOWN when the
    // link was lost or `budget` passed after it was. Returns an id for cancel(). A large body follows the request when
    // the gate there has granted a place; until all of it is sent the call cannot have run.
    // With `mayAbandon` a call on a link that has fallen silent ends as UNKNOWN before its budget has passed; only for
    // calls that may be sent again elsewhere.
    int64_t call(const std::string& address, wire::CallRequest request, BodyPtr body, base::Millis budget,
        bool mayAbandon, base::Instant now, CallDone done);
    // Sends a claim request; `done` gets nothing when no answer came in time.
    void claim(
        const std::string& address, wire::ClaimRequest request, base::Millis budget, base::Instant now, ClaimDone done);
    // Tells the other node that nobody waits any more, and forgets the call without calling its `done`.
    void cancel(int64_t id);
    // Addresses of nodes that say nothing or cannot be connected, as of the last sweep; they are tried again until they
    // answer.
    const std::set<std::string>& unreachable() const { return m_unreachable; }
    // Ends what has waited too long. To be called every few milliseconds.
    void sweep(base::Instant now);
    void close();
    const links::Traffic& traffic() const { return m_traffic; }

    void linkReady(const std::shared_ptr<links::Link>& link) override;
    void linkFrame(const std::shared_ptr<links::Link>& link, links::Kind kind, std::string_view payload) override;
    void linkDrained(const std::shared_ptr<links::Link>& link) override;
    void linkClosed(const std::shared_ptr<links::Link>& link, const std::string& reason) override;

private:
    struct Waiting {
        links::Kind kind;
        std::string payload;
        int64_t id;
    };
    struct Peer {
        std::shared_ptr<links::LinkDialer> dialer;
        std::vector<Waiting> waiting;
        std::deque<int64_t> granted; // calls whose body is being sent, in turns
        size_t unanswered { 0 }; // calls sent and not ended
        base::Instant heard; // when anything last came over the link
        base::Instant pinged; // last ping that nothing has followed yet
    };
    struct Pending {
        std::string address;
        bool mayAbandon { false };
        std::weak_ptr<links::Link> link; // empty until sent
        bool sent { false };
        BodyPtr laterBody; // follows when the gate has granted a place; null when the request holds the body
        size_t bodySent { 0 };
        // Without its whole body a call cannot run.
        bool isIncomplete() const { return laterBody && bodySent < laterBody->size(); }
        CallDone callDone;
        ClaimDone claimDone;
        base::Instant due;
    };

    Peer& peer(const std::string& address);
    int64_t addPending(Pending pending);
    void submit(const std::string& address, links::Kind kind, std::string payload, int64_t id);
    void finish(int64_t id, wire::Outcome::type outcome, const std::string& reason, bool timedOut = false);
    void failWaiting(Peer& peer, const std::string& reason);
    void sendBodies(Peer& peer);
    void probe(Peer& peer, base::Instant now);
    void abandon(const std::string& address);
    void noteReachable(const std::string& address, bool reachable);
    // Removes a pending request.
    Pending take(std::unordered_map<int64_t, Pending>::iterator it);
    static bool isSilent(const Peer& peer, base::Instant now);
    Peer* peerOf(const std::shared_ptr<links::Link>& link);

    boost::asio::io_context& m_io;
    links::Identity m_identity;
    const base::Clock& m_clock;
    PeerRequests& m_requests;
    links::Traffic m_traffic;
    std::unique_ptr<links::LinkServer> m_server;
    std::map<std::string, Peer> m_peers;
    std::set<std::string> m_unreachable;
    std::unordered_map<int64_t, Pending> m_pending;
    std::multimap<base::Instant, int64_t> m_due;
    int64_t m_nextId { 1 };
};

} // namespace pomelowind::node
