// Guards against calls that go on after their caller has closed the connection, and against requests that run although
// the connection has ended before them.

#include "tests/support/PipelinedConnection.h"

using namespace pomelowind;

namespace {

class PipelinedRequestsAreCancelledTogether : public tests::PipelinedConnection { };

}

TEST_F(PipelinedRequestsAreCancelledTogether, WhenTheCallerClosesWithFiveInProgress)
{
    caller->write(get("/1") + get("/2") + get("/3") + get("/4") + get("/5"));
    ASSERT_TRUE(runUntilHandled(5));
    caller->close();
    ASSERT_TRUE(runUntil([&] { return handler.cancelled.size() == 5; }));
    EXPECT_EQ(handler.cancelled, Paths({ "/1", "/2", "/3", "/4", "/5" }));
    EXPECT_EQ(server->connectionCount(), 0u);
}

TEST_F(PipelinedRequestsAreCancelledTogether, ExceptThoseThatHaveBeenAnswered)
{
    caller->write(get("/1") + get("/2") + get("/3"));
    ASSERT_TRUE(runUntilHandled(3));
    handler.answer("/2");
    caller->close();
    ASSERT_TRUE(runUntil([&] { return handler.cancelled.size() == 2; }));
    EXPECT_EQ(handler.cancelled, Paths({ "/1", "/3" }));
}

TEST_F(PipelinedRequestsAreCancelledTogether, AndOneThatMayNotOverlapHasNotRun)
{
    caller->write(get("/1") + post("/2"));
    ASSERT_TRUE(runUntilHandled(1));
    settle();
    caller->close();
    ASSERT_TRUE(runUntil([&] { return server->connectionCount() == 0; }));
    EXPECT_EQ(handler.handled, Paths({ "/1" }));
    EXPECT_EQ(handler.cancelled, Paths({ "/1" }));
}
