// Guards against an answer of another node that cannot be sent on over HTTP reaching a caller, with a status code that
// does not exist or with fields that would add lines to the header; and against a peer that sends bytes without end.

#include "node/PeerCalls.h"
#include "pomelowind/base/Listener.h"
#include "pomelowind/links/LinkServer.h"
#include "tests/support/CallPathFixture.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using links::FrameKind;
using tests::CallPathFixture;
using tests::RawConnection;

namespace {

constexpr int PEER = 1;
constexpr size_t SMALL_BODY_BYTES = 2;
constexpr size_t GRANTED_BODY_BYTES = 256 * 1024; // follows its request after a grant
constexpr size_t MAX_ACCEPTED_JUNK_BYTES = 16 * 1024 * 1024; // mostly in the buffers of the kernel

wire::Header header(const std::string& name, const std::string& value)
{
    wire::Header out;
    out.name = name;
    out.value = value;
    return out;
}

// An answer that can be sent on as it is.
wire::CallAnswer soundAnswer()
{
    wire::CallAnswer out;
    out.outcome = wire::Outcome::RAN;
    out.arrived = true;
    out.status = 200;
    out.headers = { header("X-Server-Stamp", "s"), header("X-Text", "caf\xc3\xa9\t1") };
    out.body = "sound";
    return out;
}

wire::CallAnswer withStatus(int status)
{
    auto out = soundAnswer();
    out.status = status;
    return out;
}

wire::CallAnswer withHeader(const std::string& name, const std::string& value)
{
    auto out = soundAnswer();
    out.headers.push_back(header(name, value));
    return out;
}

// Takes the place of a node: answers each call with the same answer.
class AnsweringPeer final : public links::LinkListener {
public:
    explicit AnsweringPeer(const base::Address& address)
        : m_server(m_io, address, { "test", "calls", "node-1", "a key for tests only" }, *this, m_traffic)
    {
    }
    ~AnsweringPeer() override
    {
        m_server.close();
        poll();
    }

    void poll()
    {
        m_io.restart();
        m_io.poll();
    }

    void linkReady(const std::shared_ptr<links::Link>&) override { }
    void linkFrameReceived(
        const std::shared_ptr<links::Link>& link, links::Kind kind, std::string_view payload) override
    {
        if (kind == FrameKind::CLAIM_REQUEST) {
            wire::ClaimAnswer claim;
            claim.id = base::decode<wire::ClaimRequest>(payload).id;
            claim.verdict = wire::ClaimVerdict::DONE;
            claim.__set_answer(answer);
            link->sendMessage(FrameKind::CLAIM_ANSWER, claim);
            return;
        }
        if (kind != FrameKind::CALL_REQUEST)
            return;
        auto request = base::decode<wire::CallRequest>(payload);
        ++calls;
        if (request.laterBytes > 0) {
            wire::CallGrant grant;
            grant.id = request.id;
            link->sendMessage(FrameKind::CALL_GRANT, grant);
        }
        answer.id = request.id;
        link->sendMessage(FrameKind::CALL_ANSWER, answer);
    }
    void linkClosed(const std::shared_ptr<links::Link>&, const std::string&) override { ++closedLinks; }

    wire::CallAnswer answer;
    int calls { 0 };
    int closedLinks { 0 };

private:
    boost::asio::io_context m_io;
    links::TrafficCounters m_traffic;
    links::LinkServer m_server;
};

class NoRequests final : public node::PeerRequestHandler {
public:
    void onCall(const void*, wire::CallRequest, std::function<void()>, node::CallCallback) override { }
    void onBody(const void*, int64_t, std::string_view) override { }
    void onCancel(const void*, int64_t) override { }
    void onOriginClosed(const void*) override { }
    wire::ClaimAnswer onClaim(const wire::ClaimRequest&) override { return {}; }
};

class MalformedPeerAnswersAreRejected : public testing::Test {
protected:
    MalformedPeerAnswersAreRejected()
        : fixture({})
        , caller(fixture.connect(0))
    {
        fixture.path(PEER).close();
    }

    // Sends a call that is not idempotent and returns what its caller gets.
    std::string responseTo(AnsweringPeer& peer, const wire::CallAnswer& answer, size_t bodyBytes)
    {
        peer.answer = answer;
        auto id = "u" + std::to_string(m_calls++);
        caller->received.clear();
        caller->write(CallPathFixture::post(id, bodyBytes) + std::string(bodyBytes, 'u'));
        EXPECT_TRUE(fixture.runUntil([&] {
            peer.poll();
            return caller->has("\r\n\r\n") || caller->closed;
        }));
        return caller->received;
    }

    CallPathFixture fixture;
    tests::RawConnectionPtr caller;

private:
    int m_calls { 0 };
};

}

TEST_F(MalformedPeerAnswersAreRejected, AloneAndAsUnknown)
{
    auto oddOutcome = soundAnswer();
    oddOutcome.outcome = static_cast<wire::Outcome::type>(7);
    auto oddRefusal = withStatus(99);
    oddRefusal.outcome = wire::Outcome::NOT_RUN;
    const std::vector<wire::CallAnswer> malformed = { withStatus(0), withStatus(-200), withStatus(99), withStatus(102),
        withStatus(600), withStatus(65736), withHeader("X Odd", "x"), withHeader("X-Odd ", "x"), withHeader("", "x"),
        withHeader("X-Odd\x01", "x"), withHeader("X-Odd: x\r\nX-Odd", "x"), withHeader("X-Odd", "x\r\nX-Odd: x"),
        withHeader("X-Odd", std::string("\0", 1)), oddOutcome, oddRefusal };
    AnsweringPeer peer(fixture.callAddress(PEER));
    for (size_t i = 0; i < malformed.size(); ++i) {
        for (auto bodyBytes : { SMALL_BODY_BYTES, GRANTED_BODY_BYTES }) {
            SCOPED_TRACE("answer " + std::to_string(i));
            auto before = peer.calls;
            auto response = responseTo(peer, malformed[i], bodyBytes);
            EXPECT_TRUE(response.starts_with("HTTP/1.1 502")) << response;
            EXPECT_EQ(response.find("X-Odd"), std::string::npos) << response;
            EXPECT_EQ(response.find("X-Server-Stamp"), std::string::npos) << response;
            EXPECT_EQ(peer.calls, before + 1) << "the call was sent again";
            response = responseTo(peer, soundAnswer(), bodyBytes);
            EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response;
            EXPECT_TRUE(response.ends_with("sound")) << response;
        }
    }
    EXPECT_EQ(peer.closedLinks, 0) << "other calls on the link have ended";
}

TEST_F(MalformedPeerAnswersAreRejected, AsTheStoredAnswerOfAnEarlierRequest)
{
    AnsweringPeer peer(fixture.callAddress(PEER));
    boost::asio::io_context io;
    node::NodeSettings settings;
    settings.mesh = "test";
    settings.meshKey = "a key for tests only";
    settings.id = "node-2";
    settings.callAddress = { fixture.callAddress(PEER).ip, 8009 };
    base::SystemClock clock;
    NoRequests requests;
    node::PeerCalls peers(io, settings, clock, requests);
    auto claim = [&](const wire::CallAnswer& answer) {
        peer.answer = answer;
        std::optional<std::optional<wire::ClaimAnswer>> out;
        peers.claim(fixture.callAddress(PEER).text(), {}, base::Millis(5000), clock.now(),
            [&](auto result) { out = std::move(result); });
        EXPECT_TRUE(fixture.runUntil([&] {
            io.restart();
            io.poll();
            peer.poll();
            return out.has_value();
        }));
        return *out;
    };
    EXPECT_TRUE(claim(soundAnswer()));
    EXPECT_FALSE(claim(withStatus(0)));
    EXPECT_FALSE(claim(withHeader("X-Odd", "x\r\nX-Odd: x")));
    peers.close();
    io.poll();
}

TEST_F(MalformedPeerAnswersAreRejected, WithoutReadingBytesWithoutEnd)
{
    for (const std::string& piece :
        { std::string(65536, '\0'), std::string(65536, 'x'), std::string("HTTP/1.1 200 OK\r\nX-Odd: x\r\n\r\n") }) {
        boost::asio::io_context io;
        boost::asio::ip::tcp::acceptor acceptor(io);
        base::listenOn(acceptor, fixture.callAddress(PEER));
        std::shared_ptr<RawConnection> link;
        acceptor.async_accept([&](boost::system::error_code, boost::asio::ip::tcp::socket socket) {
            link = std::make_shared<RawConnection>(std::move(socket));
            link->start();
            link->writeRepeatedly(piece);
        });
        caller = fixture.connect(0);
        caller->write(CallPathFixture::get("g1"));
        EXPECT_TRUE(fixture.runUntil([&] {
            io.restart();
            io.poll();
            return caller->has("\r\n\r\n") && link && link->closed;
        }));
        EXPECT_TRUE(caller->received.starts_with("HTTP/1.1 50")) << caller->received;
        EXPECT_LT(link->writtenBytes, MAX_ACCEPTED_JUNK_BYTES);
    }
}
