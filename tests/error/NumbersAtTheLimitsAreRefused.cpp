// Guards against numbers at the limits of 32 and 64 bits that overflow where they are added to a time or converted.

#include "platform/OperatorHandler.h"
#include "platform/PlatformCallProtocol.h"
#include "platform/Release.h"
#include "pomelowind/base/Errors.h"
#include "tests/support/CallPathFixture.h"
#include "tests/support/SingleControlHost.h"

#include <gtest/gtest.h>
#include <limits>

using namespace pomelowind;
using base::Millis;
using tests::CallPathFixture;

namespace {

constexpr int64_t LOWEST = std::numeric_limits<int64_t>::min();
constexpr int64_t HIGHEST = std::numeric_limits<int64_t>::max();

// Records submissions and accepts them.
class AcceptingBackend final : public operators::ControlBackend {
public:
    void submit(wire::Command command, CommandDone done) override
    {
        submitted.push_back(std::move(command));
        done({});
    }
    void view(operators::View, const std::string&, size_t, ViewDone done) override { done(404, "{}"); }
    void changeMembers(wire::Membership, std::function<void(bool)> done) override { done(false); }
    std::vector<wire::Command> submitted;
};

class StatusReply final : public http::HttpReply {
public:
    void send(http::HttpResponse response) override { status = response.status; }
    void sendTruncated(http::HttpResponse, size_t) override { }
    void onCancel(std::function<void()>) override { }
    int status { 0 };
};

std::string configuration(const std::string& limit)
{
    return R"({"version":"r7","base_version":0,"routes":[],"services":[],"limits":{"max_header_bytes":)" + limit
        + R"(,"max_body_bytes":)" + limit + R"(,"header_timeout_ms":)" + limit + R"(,"idle_timeout_ms":)" + limit
        + "}}";
}

}

TEST(NumbersAtTheLimitsAreRefused, DurationOfARollout)
{
    AcceptingBackend backend;
    auto handler = platform::makeOperatorHandler(backend, 0.1);
    auto start = [&](const std::string& duration) {
        auto reply = std::make_shared<StatusReply>();
        handler->handle({ "POST", "/v1/Rollouts.Start", {},
                            R"({"service":"desk","target_version":"v2","duration_s":)" + duration + "}", nullptr },
            reply);
        return reply->status;
    };
    for (const char* it : { "0", "-1", "-1e300", "1e300", "1e400", "604801", "9223372036854775807",
             "18446744073709551615", "\"5\"", "null" })
        EXPECT_EQ(start(it), 400) << it;
    EXPECT_TRUE(backend.submitted.empty());
    EXPECT_EQ(start("12"), 200);
    EXPECT_EQ(start("604800"), 200);
    EXPECT_EQ(backend.submitted.front().move.durationMs, 12000);
}

TEST(NumbersAtTheLimitsAreRefused, DeadlineAndWatchOfAMove)
{
    tests::SingleControlHost host;
    wire::Command service;
    service.kind = wire::CommandKind::SET_SERVICE;
    service.name = "desk";
    service.body = "v1";
    ASSERT_EQ(host.submit(service).code, wire::ResultCode::ACCEPTED);
    wire::Command command;
    command.kind = wire::CommandKind::START_MOVE;
    command.baseVersion = host.core->machine().state().version();
    wire::MoveAsk ask;
    ask.id = "m1";
    ask.serviceName = "desk";
    ask.toVersion = "v2";
    const std::vector<int64_t> numbers = { LOWEST, LOWEST + 1, -1, 0, HIGHEST - 1, HIGHEST };
    for (int64_t deadline : numbers) {
        for (int64_t watch : numbers) {
            ask.deadlineMs = deadline;
            ask.watchMs = watch;
            command.__set_move(ask);
            EXPECT_EQ(host.submit(command).code, wire::ResultCode::INVALID) << deadline << " " << watch;
        }
    }
    ask.exposurePermille = 100;
    ask.durationMs = HIGHEST;
    command.__set_move(ask);
    EXPECT_EQ(host.submit(command).code, wire::ResultCode::INVALID);
    host.advance(Millis(1000));
    ask = {};
    ask.id = "m2";
    ask.serviceName = "desk";
    ask.toVersion = "v2";
    ask.deadlineMs = tests::SingleControlHost::WALL_MS + 20000;
    ask.watchMs = 1000;
    command.__set_move(ask);
    EXPECT_EQ(host.submit(command).code, wire::ResultCode::ACCEPTED);
}

TEST(NumbersAtTheLimitsAreRefused, LimitsOfAConfiguration)
{
    for (const char* it : { "-1", "-2147483648", "2147483648", "9223372036854775807", "1e300", "\"5\"" })
        EXPECT_THROW(platform::decodeRelease(configuration(it)), base::UserError) << it;
    EXPECT_NO_THROW(platform::decodeRelease(configuration("2147483647")));
}

TEST(NumbersAtTheLimitsAreRefused, DeadlineOfACallIsBounded)
{
    auto protocol = platform::makeCallProtocol();
    auto budgetOf = [&](const std::string& value) {
        return protocol->parseCallParameters({ "GET", "/", { { "X-Deadline-Ms", value } }, "", nullptr }).budget;
    };
    EXPECT_EQ(budgetOf("2000"), Millis(2000));
    EXPECT_EQ(budgetOf("9223372036854775807"), Millis(std::chrono::hours(24)));
    EXPECT_EQ(budgetOf("-9223372036854775808"), Millis(0));
    EXPECT_EQ(budgetOf("9223372036854775808"), std::nullopt);
    EXPECT_EQ(budgetOf("1e3"), std::nullopt);
}

TEST(NumbersAtTheLimitsAreRefused, CallWithTheLongestDeadlineIsServed)
{
    CallPathFixture fixture({});
    auto caller = fixture.connect(0);
    caller->write("GET /again/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: g1\r\n"
                  "X-Deadline-Ms: 9223372036854775807\r\n\r\n");
    auto& connections = fixture.targetConnections(1);
    ASSERT_TRUE(fixture.runUntil([&] { return !connections.empty() && connections.front()->has("\r\n\r\n"); }));
    connections.front()->write(CallPathFixture::answer("g1", "fine", 200, "Keep-Alive: timeout=2147483647\r\n"));
    ASSERT_TRUE(fixture.runUntil([&] { return caller->has("fine"); }));
    caller->write(CallPathFixture::get("g2"));
    ASSERT_TRUE(fixture.runUntil([&] { return connections.back()->has("g2"); }));
    EXPECT_EQ(connections.size(), 1u) << "the target's idle time is long enough to use the connection again";
}
