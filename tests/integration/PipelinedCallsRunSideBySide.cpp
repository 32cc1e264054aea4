// Guards against pipelined calls of idempotent routes waiting for each other, and against a call of another route
// running beside one of its connection.

#include "tests/support/CallPathFixture.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using tests::CallPathFixture;

namespace {

size_t callsAt(std::vector<tests::RawConnectionPtr>& connections, const std::string& id)
{
    return static_cast<size_t>(std::count_if(
        connections.begin(), connections.end(), [&](const auto& it) { return it->has("X-Request-Id: " + id); }));
}

}

TEST(PipelinedCallsRunSideBySide, UnlessTheirRouteIsNotIdempotent)
{
    CallPathFixture fixture({});
    auto& connections = fixture.targetConnections(1);
    auto caller = fixture.connect(0);
    caller->write(CallPathFixture::get("g1") + CallPathFixture::get("g2") + CallPathFixture::post("u3", 2) + "hi"
        + CallPathFixture::get("g4"));
    ASSERT_TRUE(fixture.runUntil([&] { return callsAt(connections, "g1") && callsAt(connections, "g2"); }));
    auto connectionOf = [&](const std::string& id) {
        return *std::find_if(
            connections.begin(), connections.end(), [&](const auto& it) { return it->has("X-Request-Id: " + id); });
    };
    connectionOf("g2")->write(CallPathFixture::answer("g2", "second"));
    connectionOf("g1")->write(CallPathFixture::answer("g1", "first"));
    ASSERT_TRUE(fixture.runUntil([&] { return caller->has("second"); }));
    EXPECT_LT(caller->received.find("first"), caller->received.find("second"));
    ASSERT_TRUE(fixture.runUntil([&] { return callsAt(connections, "u3") == 1; }));
    EXPECT_EQ(callsAt(connections, "g4"), 0u);
    connectionOf("u3")->write(CallPathFixture::answer("u3", "third"));
    ASSERT_TRUE(fixture.runUntil([&] { return callsAt(connections, "g4") == 1; }));
    EXPECT_TRUE(caller->has("third"));
}
