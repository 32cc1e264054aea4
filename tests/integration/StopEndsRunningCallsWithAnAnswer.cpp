// Guards against a node whose process ends while calls run, and leaves their callers without an answer.

#include "benchmarks/Mesh.h"
#include "tests/support/CallPathFixture.h"

#include <future>
#include <gtest/gtest.h>

using namespace pomelowind;
using tests::CallPathFixture;

namespace {

const http::HttpHeaders HOST { { "Host", "a.example" }, { "X-Request-Id", "u1" } };

// Stops node `stopping`, at which the caller is, while the target at node 1 runs the call for longer than the stop.
http::HttpResponse answerOfCallDuringStopOf(int stopping)
{
    bench::MeshOptions options;
    options.nodes = 2;
    options.extraNodeSettings = "stop_timeout_ms: 100\ndrain_grace_ms: 100\n";
    bench::Mesh mesh(options);
    mesh.startAll();
    mesh.startTarget(
        { "t", "s", "v1", 1, "exponential: false\nbad_kind: slow\nbad_route: /post\nbad_rate: 1\nbad_factor: 1000\n" });
    mesh.createServices({ "s" });
    auto caller = mesh.address("caller", stopping);
    EXPECT_TRUE(mesh.waitFor([&] { return mesh.send(caller, { "GET", "/get", HOST, "", {} }).status == 200; }));
    auto answer = std::async(std::launch::async, [&] {
        return mesh.send(caller, { "POST", "/post", HOST, "body", {} });
    });
    EXPECT_TRUE(mesh.waitFor([&] { return mesh.runCountsByKey().count("u1") > 0; }));
    mesh.terminate("node-" + std::to_string(stopping));
    return answer.get();
}

}

TEST(StopEndsRunningCallsWithAnAnswer, CallerOfTheStoppingNode)
{
    for (int stopping : { 0, 1 }) {
        SCOPED_TRACE(stopping ? "target beside it" : "target elsewhere");
        auto answer = answerOfCallDuringStopOf(stopping);
        EXPECT_EQ(answer.status, 504);
        EXPECT_EQ(http::findHeader(answer.headers, "X-Pomelowind-Outcome"), "unknown");
    }
}

class StopEndsCallsOfEachState : public testing::TestWithParam<bool> {
protected:
    // Node 0 has the callers; its target runs one call at a time.
    void start(std::vector<int> targetsAt)
    {
        CallPathFixture::Options options;
        options.targetsAt = std::move(targetsAt);
        options.slots = 1;
        options.usesProductProtocol = GetParam();
        fixture = std::make_unique<CallPathFixture>(options);
    }

    tests::RawConnectionPtr send(const std::string& request)
    {
        auto out = fixture->connect(0);
        out->write(request);
        return out;
    }

    bool isAtTarget(int node, const std::string& id)
    {
        return fixture->runUntil([&] {
            const auto& all = fixture->targetConnections(node);
            return std::any_of(
                all.begin(), all.end(), [&](const auto& it) { return it->has("X-Request-Id: " + id + "\r\n"); });
        });
    }

    void stop()
    {
        fixture->path(0).drain([] {});
        fixture->path(0).endCalls();
    }

    void expectAnswer(const tests::RawConnectionPtr& caller, bool hasRun)
    {
        std::string unknown = GetParam() ? "HTTP/1.1 504" : "HTTP/1.1 502";
        EXPECT_TRUE(fixture->runUntil([&] { return caller->has("\r\n\r\n"); }));
        EXPECT_TRUE(caller->received.starts_with(hasRun ? unknown : "HTTP/1.1 503")) << caller->received;
    }

    std::unique_ptr<CallPathFixture> fixture;
};

INSTANTIATE_TEST_SUITE_P(BothProtocols, StopEndsCallsOfEachState, testing::Bool(),
    [](const auto& it) { return it.param ? "product" : "platform"; });

TEST_P(StopEndsCallsOfEachState, RunningIsUnknownAndQueuedIsNotRun)
{
    start({ 0 });
    auto running = send(CallPathFixture::post("u1", 2) + "hi");
    ASSERT_TRUE(isAtTarget(0, "u1"));
    auto queued = send(CallPathFixture::post("u2", 2) + "hi");
    ASSERT_TRUE(fixture->runUntil([&] { return fixture->path(0).localCallCount() == 2; }));
    stop();
    expectAnswer(running, true);
    expectAnswer(queued, false);
    expectAnswer(send(CallPathFixture::post("u3", 2) + "hi"), false);
    EXPECT_EQ(fixture->targetConnections(0).size(), 1u);
}

TEST_P(StopEndsCallsOfEachState, RunningElsewhereIsUnknownAndNotSentAgain)
{
    start({ 1 });
    auto caller = send(CallPathFixture::get("g1"));
    ASSERT_TRUE(isAtTarget(1, "g1"));
    stop();
    expectAnswer(caller, true);
    EXPECT_TRUE(fixture->runUntil([&] { return fixture->path(1).localCallCount() == 0; })) << "it still runs there";
    EXPECT_EQ(fixture->targetConnections(1).size(), 1u);
}
