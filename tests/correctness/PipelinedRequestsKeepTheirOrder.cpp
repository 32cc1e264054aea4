// Guards against responses in another order than their requests, and against requests that are answered late because
// an earlier one of their connection is slow.

#include "tests/support/PipelinedConnection.h"

using namespace pomelowind;

namespace {

class PipelinedRequestsKeepTheirOrder : public tests::PipelinedConnection { };

}

TEST_F(PipelinedRequestsKeepTheirOrder, WhenTheFirstIsSlow)
{
    caller->write(get("/1") + get("/2") + get("/3"));
    ASSERT_TRUE(runUntilHandled(3)) << "requests must not wait for the answers before them";
    handler.answer("/3");
    handler.answer("/2");
    settle();
    EXPECT_TRUE(caller->received.empty());
    handler.answer("/1");
    ASSERT_TRUE(runUntil([&] { return answered().size() == 3; }));
    EXPECT_EQ(answered(), Paths({ "/1", "/2", "/3" }));
    EXPECT_FALSE(caller->closed);
}

// A call that is cancelled by its deadline or a refusal is answered before those in front of it.
TEST_F(PipelinedRequestsKeepTheirOrder, WhenOneInTheMiddleIsCancelled)
{
    caller->write(get("/1") + get("/2") + get("/3"));
    ASSERT_TRUE(runUntilHandled(3));
    handler.answer("/2", 504);
    handler.answer("/1");
    handler.answer("/3");
    ASSERT_TRUE(runUntil([&] { return answered().size() == 3; }));
    EXPECT_EQ(answered(), Paths({ "/1", "/2", "/3" }));
    EXPECT_LT(caller->received.find("for /1"), caller->received.find("HTTP/1.1 504"));
    EXPECT_LT(caller->received.find("HTTP/1.1 504"), caller->received.find("for /2"));
    EXPECT_TRUE(handler.cancelled.empty());
}

TEST_F(PipelinedRequestsKeepTheirOrder, WhenOneIsTooLarge)
{
    http::HttpLimits limits;
    limits.maxBodyBytes = 100;
    server->setLimits(limits);
    caller->write(get("/1") + get("/2") + post("/3", 101) + get("/4"));
    ASSERT_TRUE(runUntilHandled(2));
    handler.answer("/2");
    settle();
    EXPECT_TRUE(caller->received.empty()) << "a refusal must not pass the answers before it";
    handler.answer("/1");
    ASSERT_TRUE(runUntil([&] { return caller->closed; }));
    EXPECT_EQ(answered(), Paths({ "/1", "/2" }));
    EXPECT_GT(caller->received.find("HTTP/1.1 413"), caller->received.find("for /2"));
    EXPECT_TRUE(caller->has("HTTP/1.1 413"));
    EXPECT_EQ(handler.handled, Paths({ "/1", "/2" })) << "nothing behind the refused request may run";
}

TEST_F(PipelinedRequestsKeepTheirOrder, WithAnInterimResponse)
{
    caller->write(get("/1") + "PUT /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
    ASSERT_TRUE(runUntilHandled(1));
    settle();
    EXPECT_TRUE(caller->received.empty()) << "100 Continue belongs behind the first response";
    handler.answer("/1");
    ASSERT_TRUE(runUntil([&] { return caller->has("100 Continue"); }));
    EXPECT_LT(caller->received.find("for /1"), caller->received.find("100 Continue"));
    caller->write("hi");
    ASSERT_TRUE(runUntilHandled(2));
    handler.answer("/2");
    ASSERT_TRUE(runUntil([&] { return caller->has("for /2"); }));
}
