// Guards against a connection whose requests fill the memory of the process or the queues of targets, and against
// limits that requests of open connections don't follow.

#include "tests/support/PipelinedConnection.h"

using namespace pomelowind;

namespace {

class PipelinesAreBounded : public tests::PipelinedConnection {
protected:
    static http::HttpLimits limits(size_t depth, size_t bytes, size_t bodyBytes = 1024)
    {
        http::HttpLimits out;
        out.pipelineDepth = depth;
        out.pipelineBytes = bytes;
        out.maxBodyBytes = bodyBytes;
        return out;
    }
};

}

TEST_F(PipelinesAreBounded, InTheNumberOfRequests)
{
    server->setLimits(limits(2, 100000));
    caller->write(get("/1") + get("/2") + get("/3") + get("/4"));
    ASSERT_TRUE(runUntilHandled(2));
    settle();
    EXPECT_EQ(handler.handled.size(), 2u);
    handler.answer("/1");
    ASSERT_TRUE(runUntilHandled(3));
    settle();
    EXPECT_EQ(handler.handled.size(), 3u);
}

TEST_F(PipelinesAreBounded, InTheirBytes)
{
    server->setLimits(limits(100, 100));
    caller->write(get("/1", "X-Filler: " + std::string(100, 'x') + "\r\n") + get("/2"));
    ASSERT_TRUE(runUntilHandled(1));
    settle();
    EXPECT_EQ(handler.handled.size(), 1u);
    handler.answer("/1");
    ASSERT_TRUE(runUntilHandled(2));
}

// A kept connection once refused bodies by the limits in force when its previous request was answered.
TEST_F(PipelinesAreBounded, ByTheLimitsInForceWhenARequestArrives)
{
    server->setLimits(limits(10, 100000, 10));
    caller->write(get("/1"));
    ASSERT_TRUE(runUntilHandled(1));
    handler.answer("/1");
    ASSERT_TRUE(runUntil([&] { return answered().size() == 1; }));
    settle();
    server->setLimits(limits(10, 100000, 1000));
    caller->write(post("/2", 500));
    ASSERT_TRUE(runUntil([&] { return handler.handled.size() == 2 || caller->closed; }));
    EXPECT_FALSE(caller->has("413"));
}
