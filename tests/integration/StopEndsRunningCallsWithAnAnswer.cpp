// Guards against a node whose process ends while calls run, and leaves their callers without an answer.

#include "benchmarks/Mesh.h"

#include <future>
#include <gtest/gtest.h>

using namespace pomelowind;
using base::Millis;

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
