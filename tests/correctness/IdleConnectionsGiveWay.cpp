// Guards against idle connections that keep new callers out, and against connections with a request being closed for
// them.

#include "tests/support/PipelinedConnection.h"

using namespace pomelowind;

namespace {

class IdleConnectionsGiveWay : public tests::PipelinedConnection {
protected:
    IdleConnectionsGiveWay()
    {
        http::HttpLimits limits;
        limits.maxConnections = 3;
        server->setLimits(limits);
    }
    tests::RawConnectionPtr connect()
    {
        boost::asio::ip::tcp::socket socket(io);
        socket.connect({ boost::asio::ip::make_address(address.ip), address.port });
        auto out = std::make_shared<tests::RawConnection>(std::move(socket));
        out->start();
        settle();
        return out;
    }
};

}

TEST_F(IdleConnectionsGiveWay, TheOneIdleLongestFirst)
{
    caller->write(get("/1"));
    ASSERT_TRUE(runUntilHandled(1));
    auto second = connect();
    auto third = connect();
    second->write("GET /slow HTTP/1.1\r\nHost: a\r\n"); // a head without an end is no request
    auto fourth = connect();
    fourth->write(get("/4"));
    ASSERT_TRUE(runUntilHandled(2));
    EXPECT_TRUE(second->closed);
    EXPECT_FALSE(caller->closed);
    EXPECT_FALSE(third->closed);
    EXPECT_EQ(server->closedCallers().idle, 1u);
    for (const auto& it : { second, third, fourth })
        it->close();
}

TEST_F(IdleConnectionsGiveWay, AndNewOnesAreRefusedWhenAllAreBusy)
{
    auto second = connect();
    auto third = connect();
    caller->write(get("/1"));
    second->write(get("/2"));
    third->write(get("/3"));
    ASSERT_TRUE(runUntilHandled(3));
    auto fourth = connect();
    EXPECT_TRUE(runUntil([&] { return fourth->closed; }));
    EXPECT_EQ(server->connectionCount(), 3u);
    EXPECT_EQ(server->closedCallers().refused, 1u);
    handler.answer("/1");
    EXPECT_TRUE(runUntil([&] { return caller->has("for /1"); }));
    for (const auto& it : { second, third, fourth })
        it->close();
}
