#include "PeerCalls.h"

#include "CallHeaders.h"
#include "pomelowind/base/Log.h"
#include "pomelowind/nodes/PeerAddress.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace pomelowind::node {

using links::FrameKind;

namespace {

    constexpr char CALLS_ROLE[] = "calls";
    constexpr size_t MAX_QUEUED_REQUESTS = 1024; // requests per peer that wait for the link
    // A peer that has requests of this node and sends nothing for this long is pinged.
    constexpr auto PING_AFTER_SILENCE = base::Millis(200);
    // A pinged peer that sends nothing for this long is considered unreachable: a few times the longest round trip plus
    // a retransmission.
    constexpr auto PEER_SILENCE_TIMEOUT = base::Millis(500);
    // A link on which this many pings in a row were not answered is closed and dialed anew. That is 3 s, the shortest
    // contact window: a node that is frozen for less keeps the calls that it runs.
    constexpr int MAX_UNANSWERED_PINGS = 15;
    // Larger bodies are sent only after the gate has granted a queue slot. That costs one more round trip, but a
    // refusal then costs no more than a short message.
    constexpr size_t MAX_INLINE_BODY_BYTES = 16 * 1024;
    // Size of one body part. Other calls on the link wait for at most two parts, which is 25 ms at 11 Mbit/s.
    constexpr size_t BODY_PART_BYTES = 16 * 1024;

    void logMalformed(const links::Link& link)
    {
        base::logRateLimited("calls.malformed_answer", { { "peer", link.peerId() } });
    }

    // Replaces an answer that cannot be trusted: the call may have run.
    wire::CallAnswer malformedAnswer(const links::Link& link, int64_t id)
    {
        logMalformed(link);
        wire::CallAnswer out;
        out.id = id;
        out.outcome = wire::Outcome::UNKNOWN;
        out.reason = "the target's node sent a malformed answer";
        out.fault = true;
        out.arrived = true;
        return out;
    }

}

PeerCalls::PeerCalls(boost::asio::io_context& io, const NodeSettings& settings, const base::Clock& clock,
    PeerRequestHandler& requestHandler, base::MemoryBudgetPtr bodyMemory)
    : m_io(io)
    , m_identity { settings.mesh, CALLS_ROLE, settings.id, settings.meshKey }
    , m_clock(clock)
    , m_requestHandler(requestHandler)
    , m_queueReservation(std::move(bodyMemory))
    , m_server(std::make_unique<links::LinkServer>(io, settings.callAddress, m_identity, *this, m_traffic))
{
}

PeerCalls::Peer* PeerCalls::peer(const std::string& address)
{
    auto known = m_peers.find(address);
    if (known != m_peers.end())
        return &known->second;
    auto parsed = nodes::peerAddress(address);
    if (!parsed) {
        setReachable(address, false);
        return nullptr;
    }
    auto& out = m_peers[address];
    out.dialer = std::make_shared<links::LinkDialer>(m_io, *parsed, m_identity, *this, m_traffic);
    out.dialer->start();
    return &out;
}

void PeerCalls::sendOrQueue(const std::string& address, links::Kind kind, std::string payload, int64_t id)
{
    auto* to = peer(address);
    if (!to) {
        m_deadlines.emplace(base::Instant(), id);
        return;
    }
    auto link = to->dialer->link();
    if (link) {
        auto& pending = m_pending.at(id);
        pending.link = link;
        pending.sent = link->send(kind, payload);
        if (!pending.sent)
            m_deadlines.emplace(base::Instant(), id); // A deadline in the past: the next sweep fails this call.
        else if (!to->unanswered++)
            to->lastReceivedAt = m_clock.now();
        return;
    }
    if (to->queued.size() < MAX_QUEUED_REQUESTS)
        to->queued.push_back({ kind, std::move(payload), id });
}

int64_t PeerCalls::addPending(Pending pending)
{
    int64_t id = m_nextId++;
    m_deadlines.emplace(pending.deadline, id);
    m_pending.emplace(id, std::move(pending));
    return id;
}

int64_t PeerCalls::call(const std::string& address, wire::CallRequest request, BodyPtr body, base::Millis budget,
    bool mayAbandon, base::Instant now, CallCallback done)
{
    const auto* to = peer(address);
    if (!to || isSilent(*to, now)) {
        const char* reason = to ? "the target's node has fallen silent" : "the target's node has no usable address";
        boost::asio::post(m_io, [reason, done = std::move(done)] {
            wire::CallAnswer answer;
            answer.outcome = wire::Outcome::NOT_RUN;
            answer.reason = reason;
            answer.fault = true;
            done(std::move(answer));
        });
        return m_nextId++;
    }
    Pending pending;
    pending.address = address;
    pending.mayAbandon = mayAbandon;
    pending.callDone = std::move(done);
    pending.deadline = now + budget;
    if (body->size() > MAX_INLINE_BODY_BYTES) {
        request.laterBytes = static_cast<int64_t>(body->size());
        pending.deferredBody = std::move(body);
    } else {
        request.body = *body;
    }
    request.id = addPending(std::move(pending));
    sendOrQueue(address, FrameKind::CALL_REQUEST, base::encode(request), request.id);
    return request.id;
}

void PeerCalls::claim(
    const std::string& address, wire::ClaimRequest request, base::Millis budget, base::Instant now, ClaimCallback done)
{
    Pending pending;
    pending.address = address;
    pending.claimDone = std::move(done);
    pending.deadline = now + budget;
    request.id = addPending(std::move(pending));
    sendOrQueue(address, FrameKind::CLAIM_REQUEST, base::encode(request), request.id);
}

void PeerCalls::sendCancel(int64_t id, const Pending& pending)
{
    if (auto link = pending.link.lock()) {
        wire::CallCancel message;
        message.id = id;
        link->sendMessage(FrameKind::CALL_CANCEL, message);
    }
}

void PeerCalls::cancel(int64_t id)
{
    auto it = m_pending.find(id);
    if (it == m_pending.end())
        return;
    sendCancel(id, it->second);
    removePending(it);
}

void PeerCalls::endRequests(const std::string& reason)
{
    std::vector<int64_t> ids;
    for (const auto& [id, it] : m_pending)
        ids.push_back(id);
    for (int64_t id : ids) {
        auto it = m_pending.find(id);
        if (it == m_pending.end())
            continue;
        bool sent = it->second.sent;
        if (sent && it->second.callDone)
            sendCancel(id, it->second);
        failPending(id, sent ? wire::Outcome::UNKNOWN : wire::Outcome::NOT_RUN, reason);
    }
}

PeerCalls::Pending PeerCalls::removePending(std::unordered_map<int64_t, Pending>::iterator it)
{
    Pending out = std::move(it->second);
    m_pending.erase(it);
    auto from = m_peers.find(out.address);
    if (out.sent && from != m_peers.end() && from->second.unanswered)
        --from->second.unanswered;
    return out;
}

void PeerCalls::failPending(int64_t id, wire::Outcome::type outcome, const std::string& reason, bool timedOut)
{
    auto it = m_pending.find(id);
    if (it == m_pending.end())
        return;
    Pending pending = removePending(it);
    if (pending.claimDone)
        return pending.claimDone(std::nullopt);
    if (pending.isIncomplete())
        outcome = wire::Outcome::NOT_RUN;
    wire::CallAnswer answer;
    answer.id = id;
    answer.outcome = outcome;
    answer.reason = reason;
    answer.fault = true;
    answer.arrived = outcome != wire::Outcome::NOT_RUN;
    answer.timedOut = timedOut;
    pending.callDone(std::move(answer));
}

void PeerCalls::failQueued(Peer& peer, const std::string& reason)
{
    auto queued = std::move(peer.queued);
    peer.queued.clear();
    for (const auto& it : queued)
        failPending(it.id, wire::Outcome::NOT_RUN, reason);
}

bool PeerCalls::isSilent(const Peer& peer, base::Instant now)
{
    return peer.pingSentAt != base::Instant() && now - peer.lastReceivedAt >= PEER_SILENCE_TIMEOUT;
}

// Pings a peer that has outstanding requests and has sent nothing for PING_AFTER_SILENCE, and again until it answers.
// Peers without requests are not pinged, so an idle mesh sends nothing.
void PeerCalls::pingIfSilent(Peer& peer, base::Instant now)
{
    auto link = peer.dialer->link();
    bool pingedRecently = peer.pingSentAt != base::Instant() && now - peer.pingSentAt < PING_AFTER_SILENCE;
    if (!link || pingedRecently || now - peer.lastReceivedAt < PING_AFTER_SILENCE)
        return;
    if (!peer.unanswered && peer.pingSentAt == base::Instant())
        return;
    if (++peer.unansweredPings > MAX_UNANSWERED_PINGS) {
        base::logWarn("calls.link_silent", { { "peer", link->peerId() } });
        return link->close("the node has answered no ping");
    }
    peer.pingSentAt = now;
    link->send(FrameKind::PING, {});
}

void PeerCalls::abandonCalls(const std::string& address)
{
    std::vector<int64_t> lost;
    for (const auto& [id, it] : m_pending) {
        if (it.sent && (it.mayAbandon || it.isIncomplete()) && it.address == address)
            lost.push_back(id);
    }
    if (lost.empty())
        return;
    base::logWarn("calls.peer_silent", { { "address", address }, { "abandoned", lost.size() } });
    for (int64_t id : lost) {
        failPending(id, wire::Outcome::UNKNOWN, "the target's node has fallen silent");
    }
}

void PeerCalls::setReachable(const std::string& address, bool reachable)
{
    bool changed = reachable ? m_unreachable.erase(address) > 0 : m_unreachable.insert(address).second;
    if (changed)
        base::logInfo("calls.peer_reachable", { { "address", address }, { "reachable", reachable ? 1 : 0 } });
}

PeerCalls::Peer* PeerCalls::findPeer(const std::shared_ptr<links::Link>& link)
{
    for (auto& [address, it] : m_peers) {
        if (it.dialer->link() == link)
            return &it;
    }
    return nullptr;
}

size_t PeerCalls::connectedPeers() const
{
    return static_cast<size_t>(
        std::count_if(m_peers.begin(), m_peers.end(), [](const auto& it) { return it.second.dialer->link(); }));
}

// Counts the answers that wait on links, so that no more is read from targets than other nodes take.
void PeerCalls::reserveQueues()
{
    size_t bytes = 0;
    std::erase_if(m_answeringLinks, [&](const auto& it) {
        auto link = it.lock();
        if (!link || !link->isReady() || !link->queuedBytes())
            return true;
        bytes += link->queuedBytes();
        return false;
    });
    m_queueReservation.setTo(bytes);
}

void PeerCalls::sweep(base::Instant now)
{
    reserveQueues();
    for (auto& [address, it] : m_peers) {
        pingIfSilent(it, now);
        if (isSilent(it, now))
            abandonCalls(address);
        bool unconnected = !it.dialer->link() && it.dialer->consecutiveFailures() > 0;
        setReachable(address, !unconnected && !isSilent(it, now));
    }
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        int64_t id = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        auto it = m_pending.find(id);
        if (it == m_pending.end())
            continue;
        bool sent = it->second.sent;
        if (sent && it->second.callDone)
            sendCancel(id, it->second);
        failPending(id, sent ? wire::Outcome::UNKNOWN : wire::Outcome::NOT_RUN,
            sent ? "no answer from the target's node in time" : "the target's node could not be reached in time", true);
    }
    for (auto& [address, it] : m_peers) {
        if (!it.queued.empty() && it.dialer->consecutiveFailures() > 0 && !it.dialer->link())
            failQueued(it, "the target's node cannot be reached");
    }
}

void PeerCalls::close()
{
    m_server->close();
    for (auto& [address, it] : m_peers)
        it.dialer->stop();
}

void PeerCalls::linkReady(const std::shared_ptr<links::Link>& link)
{
    for (auto& [address, it] : m_peers) {
        if (it.dialer->link() != link)
            continue;
        auto queued = std::move(it.queued);
        it.queued.clear();
        it.unanswered = 0;
        it.bodyQueue.clear();
        it.lastReceivedAt = m_clock.now();
        it.pingSentAt = base::Instant();
        it.unansweredPings = 0;
        for (const auto& item : queued) {
            auto pending = m_pending.find(item.id);
            if (pending == m_pending.end())
                continue;
            pending->second.link = link;
            pending->second.sent = link->send(item.kind, item.payload);
            it.unanswered += pending->second.sent ? 1 : 0;
        }
    }
}

void PeerCalls::linkFrameReceived(const std::shared_ptr<links::Link>& link, links::Kind kind, std::string_view payload)
{
    if (auto* from = findPeer(link)) {
        from->lastReceivedAt = m_clock.now();
        from->pingSentAt = base::Instant();
        from->unansweredPings = 0;
    }
    switch (kind) {
    case FrameKind::PING:
        link->send(FrameKind::PONG, {});
        return;
    case FrameKind::PONG:
        return;
    case FrameKind::CALL_REQUEST: {
        auto request = base::decode<wire::CallRequest>(payload);
        int64_t id = request.id;
        auto onGranted = [weak = std::weak_ptr<links::Link>(link), id] {
            wire::CallGrant grant;
            grant.id = id;
            if (auto to = weak.lock())
                to->sendMessage(FrameKind::CALL_GRANT, grant);
        };
        auto done = [this, weak = std::weak_ptr<links::Link>(link), id](wire::CallAnswer answer) {
            answer.id = id;
            auto to = weak.lock();
            if (!to)
                return;
            to->sendMessage(FrameKind::CALL_ANSWER, answer);
            m_answeringLinks.insert(weak);
            reserveQueues();
        };
        return m_requestHandler.onCall(link.get(), std::move(request), onGranted, done);
    }
    case FrameKind::CALL_GRANT: {
        int64_t id = base::decode<wire::CallGrant>(payload).id;
        auto it = m_pending.find(id);
        auto* from = findPeer(link);
        if (!from || it == m_pending.end() || it->second.link.lock() != link || !it->second.isIncomplete())
            return;
        from->bodyQueue.push_back(id);
        return sendBodies(*from);
    }
    case FrameKind::CALL_BODY: {
        auto body = base::decode<wire::CallBody>(payload);
        return m_requestHandler.onBody(link.get(), body.id, body.part);
    }
    case FrameKind::CALL_CANCEL:
        return m_requestHandler.onCancel(link.get(), base::decode<wire::CallCancel>(payload).id);
    case FrameKind::CLAIM_REQUEST:
        link->sendMessage(FrameKind::CLAIM_ANSWER, m_requestHandler.onClaim(base::decode<wire::ClaimRequest>(payload)));
        return;
    case FrameKind::CALL_ANSWER: {
        auto answer = base::decode<wire::CallAnswer>(payload);
        auto it = m_pending.find(answer.id);
        // Ignores an answer whose request has ended, or that came over another link than the request.
        if (it == m_pending.end() || !it->second.callDone || it->second.link.lock() != link)
            return;
        if (!isWellFormed(answer))
            answer = malformedAnswer(*link, answer.id);
        return removePending(it).callDone(std::move(answer));
    }
    case FrameKind::CLAIM_ANSWER: {
        auto answer = base::decode<wire::ClaimAnswer>(payload);
        auto it = m_pending.find(answer.id);
        if (it == m_pending.end() || !it->second.claimDone || it->second.link.lock() != link)
            return;
        auto done = removePending(it).claimDone;
        if (answer.__isset.answer && !isWellFormed(answer.answer)) {
            logMalformed(*link);
            return done(std::nullopt);
        }
        return done(std::move(answer));
    }
    default:
        throw base::UserError(
            base::ErrorKind::Protocol, "unexpected frame on a call link", "run the same release on all hosts");
    }
}

// Sends granted bodies part by part in round-robin order, so that a large body delays neither small ones nor other
// calls.
void PeerCalls::sendBodies(Peer& peer)
{
    auto link = peer.dialer->link();
    while (link && !peer.bodyQueue.empty() && link->queuedBytes() < BODY_PART_BYTES) {
        int64_t id = peer.bodyQueue.front();
        peer.bodyQueue.pop_front();
        auto it = m_pending.find(id);
        if (it == m_pending.end())
            continue;
        auto& pending = it->second;
        wire::CallBody message;
        message.id = id;
        message.part = pending.deferredBody->substr(pending.bodySent, BODY_PART_BYTES);
        if (!link->sendMessage(FrameKind::CALL_BODY, message))
            return;
        pending.bodySent += message.part.size();
        if (pending.isIncomplete())
            peer.bodyQueue.push_back(id);
    }
}

void PeerCalls::linkDrained(const std::shared_ptr<links::Link>& link)
{
    if (auto* to = findPeer(link); to && !to->bodyQueue.empty())
        sendBodies(*to);
}

void PeerCalls::linkClosed(const std::shared_ptr<links::Link>& link, const std::string& reason)
{
    m_requestHandler.onOriginClosed(link.get());
    base::logInfo("calls.link_closed", { { "peer", link->peerId() }, { "reason", reason } });
    std::vector<int64_t> lost;
    for (const auto& [id, it] : m_pending) {
        if (it.sent && it.link.lock() == link)
            lost.push_back(id);
    }
    for (int64_t id : lost)
        failPending(id, wire::Outcome::UNKNOWN, "the link to the target's node was lost");
}

} // namespace pomelowind::node
