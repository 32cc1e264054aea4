// Guards against a planned stop that loses requests which the process has already begun.

#include "tests/support/PipelinedConnection.h"

using namespace pomelowind;

namespace {

class PlannedStopsAnswerPipelinedRequests : public tests::PipelinedConnection { };

}

TEST_F(PlannedStopsAnswerPipelinedRequests, WithThreeInProgress)
{
    caller->write(get("/1") + get("/2") + get("/3"));
    ASSERT_TRUE(runUntilHandled(3));
    bool drained = false;
    server->drain(base::Millis(0), [&] { drained = true; });
    handler.answer("/1");
    handler.answer("/2");
    ASSERT_TRUE(runUntil([&] { return answered().size() == 2; }));
    EXPECT_FALSE(caller->has("Connection: close")) << "the caller would take the third request for one not run";
    handler.answer("/3");
    ASSERT_TRUE(runUntil([&] { return caller->closed; }));
    EXPECT_EQ(answered(), Paths({ "/1", "/2", "/3" }));
    EXPECT_TRUE(caller->has("Connection: close"));
    caller->close();
    EXPECT_TRUE(runUntil([&] { return drained; }));
}

TEST_F(PlannedStopsAnswerPipelinedRequests, AndRefuseOneThatWaitsAsNotRun)
{
    caller->write(get("/1") + post("/2"));
    ASSERT_TRUE(runUntilHandled(1));
    settle();
    server->drain(base::Millis(0), [] {});
    handler.answer("/1");
    ASSERT_TRUE(runUntil([&] { return caller->closed; }));
    EXPECT_TRUE(caller->has("HTTP/1.1 503"));
    EXPECT_TRUE(caller->has("not-run"));
    EXPECT_EQ(handler.handled, Paths({ "/1" }));
}
