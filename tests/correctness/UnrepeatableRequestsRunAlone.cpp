// Guards against a request that may not overlap others being handled beside one of its connection.

#include "tests/support/PipelinedConnection.h"

using namespace pomelowind;

namespace {

class UnrepeatableRequestsRunAlone : public tests::PipelinedConnection { };

}

TEST_F(UnrepeatableRequestsRunAlone, InTheMiddleOfAPipeline)
{
    caller->write(get("/1") + get("/2") + post("/3") + get("/4"));
    ASSERT_TRUE(runUntilHandled(2));
    handler.answer("/2");
    settle();
    EXPECT_EQ(handler.handled, Paths({ "/1", "/2" }));
    handler.answer("/1");
    ASSERT_TRUE(runUntilHandled(3));
    settle();
    EXPECT_EQ(handler.handled, Paths({ "/1", "/2", "/3" })) << "/4 waits for the answer to /3";
    handler.answer("/3");
    ASSERT_TRUE(runUntilHandled(4));
    handler.answer("/4");
    ASSERT_TRUE(runUntil([&] { return answered().size() == 4; }));
    EXPECT_EQ(answered(), Paths({ "/1", "/2", "/3", "/4" }));
}

TEST_F(UnrepeatableRequestsRunAlone, NotBehindAResponseThatClosesTheConnection)
{
    caller->write(get("/1") + get("/2", "Connection: close\r\n") + post("/3"));
    ASSERT_TRUE(runUntilHandled(2));
    handler.answer("/1");
    handler.answer("/2");
    ASSERT_TRUE(runUntil([&] { return caller->closed; }));
    EXPECT_EQ(answered(), Paths({ "/1", "/2" }));
    EXPECT_EQ(handler.handled, Paths({ "/1", "/2" }));
}
