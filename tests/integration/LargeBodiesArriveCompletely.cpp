// A large body reaches its target completely and once; otherwise the caller gets the correct outcome of the call.

#include "tests/support/CallPathFixture.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using tests::CallPathFixture;

namespace {

constexpr size_t LARGE = 360 * 1024;

std::string pattern(size_t n, int seed = 7)
{
    std::string out(n, ' ');
    for (size_t i = 0; i < n; ++i)
        out[i] = static_cast<char>('a' + (i * 31 + i / 977 + static_cast<size_t>(seed)) % 26);
    return out;
}

// Returns true when the target has read a request that ends with `body`.
bool receivedBody(const tests::RawConnectionPtr& target, const std::string& body)
{
    return target->received.size() >= body.size()
        && target->received.compare(target->received.size() - body.size(), body.size(), body) == 0;
}

bool anyReceivedBody(std::vector<tests::RawConnectionPtr>& connections, const std::string& body)
{
    return std::any_of(
        connections.begin(), connections.end(), [&](const auto& connection) { return receivedBody(connection, body); });
}

}

TEST(LargeBodiesArriveCompletely, AtATargetOfAnotherNode)
{
    CallPathFixture fixture({});
    auto body = pattern(LARGE);
    auto caller = fixture.connect(0);
    caller->write(CallPathFixture::post("u1", body.size()) + body);
    ASSERT_TRUE(fixture.runUntil([&] { return anyReceivedBody(fixture.targetConnections(1), body); }));
    fixture.targetConnections(1).at(0)->write(CallPathFixture::answer("u1", "stored"));
    ASSERT_TRUE(fixture.runUntil([&] { return caller->has("stored"); }));
    EXPECT_TRUE(caller->has("200"));
    EXPECT_EQ(fixture.targetConnections(1).size(), 1u);
}

TEST(LargeBodiesArriveCompletely, WithChunkedEncodingAndExpectContinue)
{
    CallPathFixture fixture({});
    auto body = pattern(40000);
    auto caller = fixture.connect(0);
    caller->write("POST /once/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: u1\r\nX-Deadline-Ms: 5000\r\n"
                  "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n");
    ASSERT_TRUE(fixture.runUntil([&] { return caller->has("100 Continue"); }));
    caller->write("4e20\r\n" + body.substr(0, 20000) + "\r\n");
    caller->write("4e20;part=2\r\n" + body.substr(20000) + "\r\n0\r\n\r\n");
    ASSERT_TRUE(fixture.runUntil([&] { return anyReceivedBody(fixture.targetConnections(1), body); }));
    EXPECT_FALSE(fixture.targetConnections(1).at(0)->has("100-continue"))
        << "the node has the whole body, so it must not ask the target for permission";
}

TEST(LargeBodiesArriveCompletely, NothingIsForwardedWhenTheCallerDisconnects)
{
    CallPathFixture fixture({});
    auto body = pattern(LARGE);
    for (const std::string& head : { CallPathFixture::post("u1", body.size()),
             std::string("POST /once/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: u2\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n5a000\r\n") }) {
        auto caller = fixture.connect(0);
        caller->write(head + body.substr(0, LARGE / 2));
        bool sent = false;
        boost::asio::post(caller->socket.get_executor(), [&] { sent = true; });
        ASSERT_TRUE(fixture.runUntil([&] { return sent; }));
        caller->close();
    }
    // A later call on a new connection shows that the earlier ones have been handled.
    auto later = fixture.connect(0);
    later->write(CallPathFixture::get("g1"));
    auto& connections = fixture.targetConnections(1);
    ASSERT_TRUE(fixture.runUntil([&] { return !connections.empty() && connections.front()->has("g1"); }));
    EXPECT_FALSE(connections.front()->has("POST"));
    EXPECT_EQ(connections.size(), 1u);
}

TEST(LargeBodiesArriveCompletely, ExcessBytesAreNotForwarded)
{
    CallPathFixture fixture({});
    auto body = pattern(20000);
    auto caller = fixture.connect(0);
    caller->write(CallPathFixture::post("u1", body.size()) + body + "beyond\r\n\r\n");
    ASSERT_TRUE(fixture.runUntil([&] { return anyReceivedBody(fixture.targetConnections(1), body); }));
    fixture.targetConnections(1).at(0)->write(CallPathFixture::answer("u1", "stored"));
    ASSERT_TRUE(fixture.runUntil([&] { return caller->has("stored") && (caller->closed || caller->has("400")); }));
}

TEST(LargeBodiesArriveCompletely, WhenTheTargetRespondsBeforeItHasReadAll)
{
    CallPathFixture::Options options;
    options.slots = 1;
    CallPathFixture fixture(options);
    auto body = pattern(6 * 1024 * 1024);
    auto caller = fixture.connect(1);
    caller->write(CallPathFixture::post("u1", body.size()) + body);
    auto& connections = fixture.targetConnections(1);
    ASSERT_TRUE(fixture.runUntil([&] { return !connections.empty() && connections.front()->has("\r\n\r\n"); }));
    auto first = connections.front();
    first->pause();
    first->write(CallPathFixture::answer("u1", "refused early", 500));
    ASSERT_TRUE(fixture.runUntil([&] { return caller->has("refused early"); }))
        << "the response must not wait for the rest of the body";
    // While the target still reads the body, the next call needs another connection.
    auto next = fixture.connect(1);
    next->write(CallPathFixture::get("g1"));
    ASSERT_TRUE(fixture.runUntil([&] { return connections.size() == 2 && connections[1]->has("g1"); }));
    first->resume();
    ASSERT_TRUE(fixture.runUntil([&] { return receivedBody(first, body); }))
        << "the rest of the body must follow unchanged";
}

TEST(LargeBodiesArriveCompletely, NotSentToANodeThatRefusesTheCall)
{
    CallPathFixture::Options options;
    options.nodes = 3;
    options.targetsAt = { 1 };
    options.slots = 1;
    CallPathFixture fixture(options);
    auto& connections = fixture.targetConnections(1);
    // Fills the only concurrency slot and the admission queue.
    std::vector<tests::RawConnectionPtr> callers;
    for (int i = 0; i < 12; ++i) {
        callers.push_back(fixture.connect(1));
        callers.back()->write(CallPathFixture::get("g" + std::to_string(i)));
    }
    ASSERT_TRUE(fixture.runUntil([&] { return !connections.empty() && fixture.path(1).localCallCount() >= 5; }));
    auto body = pattern(LARGE);
    auto before = fixture.path(0).bytesBetweenNodes();
    auto caller = fixture.connect(0);
    caller->write(CallPathFixture::post("u1", body.size()) + body);
    ASSERT_TRUE(fixture.runUntil([&] { return caller->has("503"); }));
    EXPECT_TRUE(caller->has("Retry-After"));
    EXPECT_LT(fixture.path(0).bytesBetweenNodes() - before, 4096u);
}

TEST(LargeBodiesArriveCompletely, LinkLossBeforeTheWholeBodyMeansNotRun)
{
    CallPathFixture fixture({});
    auto body = pattern(LARGE);
    auto caller = fixture.connect(0);
    auto warm = fixture.connect(0);
    warm->write(CallPathFixture::get("g1"));
    auto& connections = fixture.targetConnections(1);
    ASSERT_TRUE(fixture.runUntil([&] { return !connections.empty(); }));
    // The target's node closes its links as soon as it has received the call.
    auto callsBefore = fixture.path(1).localCallCount();
    caller->write(CallPathFixture::post("u1", body.size()) + body);
    ASSERT_TRUE(fixture.runUntil([&] { return fixture.path(1).localCallCount() > callsBefore; }));
    fixture.path(1).close();
    ASSERT_TRUE(fixture.runUntil([&] { return caller->has("HTTP/1.1 "); }));
    EXPECT_TRUE(caller->has("503")) << caller->received;
    for (const auto& it : connections)
        EXPECT_FALSE(it->has("POST"));
}

TEST(LargeBodiesArriveCompletely, WithinTheMemoryLimit)
{
    CallPathFixture::Options options;
    options.bodyMemoryBytes = 1024 * 1024;
    CallPathFixture fixture(options);
    auto body = pattern(LARGE);
    std::vector<tests::RawConnectionPtr> callers;
    for (int i = 0; i < 4; ++i) {
        callers.push_back(fixture.connect(0));
        callers.back()->write(CallPathFixture::post("u" + std::to_string(i), body.size()) + body);
    }
    auto refused
        = [&] { return std::count_if(callers.begin(), callers.end(), [](const auto& it) { return it->has("503"); }); };
    auto& connections = fixture.targetConnections(1);
    ASSERT_TRUE(fixture.runUntil([&] { return refused() >= 1; }));
    ASSERT_TRUE(fixture.runUntil([&] { return anyReceivedBody(connections, body); }));
    // Answered calls release their memory.
    auto opened = connections;
    for (const auto& it : opened)
        fixture.runUntil([&] { return receivedBody(it, body); });
    for (int i = 0; i < 4; ++i) {
        for (const auto& it : connections) {
            if (it->has("X-Request-Id: u" + std::to_string(i)))
                it->write(CallPathFixture::answer("u" + std::to_string(i), "stored"));
        }
    }
    ASSERT_TRUE(fixture.runUntil([&] {
        return std::all_of(callers.begin(), callers.end(), [](const auto& it) { return it->has("HTTP/1.1 "); });
    }));
    auto later = fixture.connect(0);
    auto other = pattern(LARGE, 11);
    later->write(CallPathFixture::post("u9", other.size()) + other);
    ASSERT_TRUE(fixture.runUntil([&] { return anyReceivedBody(connections, other); }));
}
