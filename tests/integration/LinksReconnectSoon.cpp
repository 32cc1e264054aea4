// Guards the handling of lost links. A link that became ready resets the backoff of earlier failures, so that it is
// reconnected quickly. A call whose link is lost is answered after a few retries, without waiting for its deadline.

#include "pomelowind/links/LinkDialer.h"
#include "pomelowind/links/LinkServer.h"
#include "tests/support/CallPathFixture.h"

#include <gtest/gtest.h>

using namespace pomelowind;

namespace {

// Closes each link as soon as it is ready.
class ClosingListener final : public links::LinkListener {
public:
    void linkReady(const std::shared_ptr<links::Link>& link) override
    {
        ++readyCount;
        link->close("closed by the test");
    }
    void linkFrameReceived(const std::shared_ptr<links::Link>&, links::Kind, std::string_view) override { }
    void linkClosed(const std::shared_ptr<links::Link>&, const std::string&) override { }
    int readyCount { 0 };
};

// Counts the links that became ready and those that closed.
class CountingListener final : public links::LinkListener {
public:
    void linkReady(const std::shared_ptr<links::Link>&) override { ++readyCount; }
    void linkFrameReceived(const std::shared_ptr<links::Link>&, links::Kind, std::string_view) override { }
    void linkClosed(const std::shared_ptr<links::Link>&, const std::string&) override { ++closedCount; }
    int readyCount { 0 };
    int closedCount { 0 };
};

}

TEST(LinksReconnectSoon, ReadyLinkResetsFailureCount)
{
    boost::asio::io_context io;
    links::Identity identity { "m", "calls", "n", "a key for tests only" };
    links::TrafficCounters traffic;
    ClosingListener serverListener;
    CountingListener clientListener;
    base::Address address { "127.99." + std::to_string(getpid() % 250) + ".1", 8009 };
    links::LinkServer linkServer(io, address, identity, serverListener, traffic);
    auto dialer = std::make_shared<links::LinkDialer>(io, address, identity, clientListener, traffic);
    dialer->start();
    for (int i = 1; i <= 8; ++i) {
        while (clientListener.closedCount < i)
            io.run_one();
        EXPECT_LE(dialer->consecutiveFailures(), 1) << i;
    }
    dialer->stop();
    linkServer.close();
    io.poll();
}

TEST(LinksReconnectSoon, CallOnLostLinkFailsBeforeItsDeadline)
{
    tests::CallPathFixture fixture({});
    auto caller = fixture.connect(0);
    caller->write(tests::CallPathFixture::get("g1"));
    ASSERT_TRUE(fixture.runUntil([&] { return !fixture.targetConnections(1).empty(); }));
    // Shut down the call path of the only target's node while the call runs there, for good.
    fixture.path(1).close();
    ASSERT_TRUE(fixture.runUntil([&] { return caller->has("\r\n\r\n"); }));
    // The status would be 504 if the call had waited for its deadline.
    EXPECT_TRUE(caller->has("HTTP/1.1 502")) << caller->received;
}
