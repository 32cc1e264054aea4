// Guarantees of calls, checked with real node and target processes under load and faults: complete responses, at most
// one run for each idempotency key, correct outcomes, graceful shutdowns without lost calls, and roll back of bad
// versions.

#include "benchmarks/Mesh.h"
#include "pomelowind/base/Hash.h"
#include "pomelowind/base/Wire.h"

#include <algorithm>
#include <fstream>
#include <future>
#include <gtest/gtest.h>
#include <sstream>

using namespace pomelowind;
using base::Millis;
using bench::Mesh;
using namespace nlohmann::literals;

namespace {

struct CallerLine {
    std::string id;
    std::string verdict;
};

std::vector<CallerLine> callerLog(const std::string& file)
{
    std::vector<CallerLine> out;
    std::ifstream in(file);
    std::string line;
    while (std::getline(in, line)) {
        std::istringstream fields(line);
        std::string time;
        std::string path;
        CallerLine it;
        fields >> time >> it.id >> path >> it.verdict;
        out.push_back(it);
    }
    return out;
}

void startMesh(Mesh& mesh, const std::string& service = "s")
{
    mesh.startAll();
    for (int i = 0; i < mesh.options().nodes; ++i)
        mesh.startTarget({ "t" + std::to_string(i), service, "v1", i, "" });
    mesh.createServices({ service });
    ASSERT_TRUE(mesh.waitUntilApplied(mesh.options().nodes));
    auto ready = [&] {
        return mesh.send(mesh.callerAddresses().back(),
                       { "POST", "/post",
                           { { "Host", "a.example" },
                               { "Idempotency-Key", base::makeUuidV7(base::SystemClock().wallMs()) } },
                           "" })
                   .status
            == 200;
    };
    ASSERT_TRUE(mesh.waitFor(ready));
}

standins::LoadOptions load(const Mesh& mesh, const std::string& path, double rate, double seconds)
{
    standins::LoadOptions out;
    out.addresses = mesh.callerAddresses();
    out.hosts = { "a.example" };
    out.paths = { path };
    out.ratePerSecond = rate;
    out.seconds = seconds;
    return out;
}

}

TEST(CallGuaranteesHoldUnderFaults, KeyedCallsRunAtMostOnceWhileHoldersAndTargetsCrash)
{
    bench::MeshOptions options;
    options.nodes = 8;
    Mesh mesh(options);
    startMesh(mesh);
    auto keyed = load(mesh, "/post", 150, 10);
    keyed.method = "POST";
    keyed.keyed = true;
    keyed.maxResends = 4;
    keyed.logFile = mesh.folder() + "/calls.txt";
    auto summary = std::async(std::launch::async, [&] { return bench::runLoad(keyed, 1); });
    for (int i : { 5, 6, 7 }) {
        size_t before = mesh.runCountsByKey().size();
        ASSERT_TRUE(mesh.waitFor([&] { return mesh.runCountsByKey().size() >= before + 100; }));
        mesh.kill("node-" + std::to_string(i));
        mesh.startNode(i);
        mesh.kill("t" + std::to_string(i - 4));
        mesh.startTarget({ "t" + std::to_string(i - 4), "s", "v1", i - 4, "" });
    }
    auto result = summary.get();
    auto runs = mesh.runCountsByKey();
    for (const auto& [key, n] : runs)
        EXPECT_LE(n, 1) << key;
    for (const auto& it : callerLog(keyed.logFile)) {
        if (it.verdict != "not-run" && it.verdict != "ok")
            continue;
        EXPECT_EQ(runs[it.id], it.verdict == "ok" ? 1 : 0) << it.verdict << " " << it.id;
    }
    EXPECT_EQ(result.wrongBodies, 0u);
    EXPECT_GT(result.ok, result.sent / 2);
}

TEST(CallGuaranteesHoldUnderFaults, GracefulShutdownsLoseNoCalls)
{
    bench::MeshOptions options;
    options.nodes = 6;
    options.extraNodeSettings = "drain_grace_ms: 1500\n";
    Mesh mesh(options);
    startMesh(mesh);
    auto calls = load(mesh, "/get", 300, 8);
    calls.addresses = { mesh.address("caller", 0), mesh.address("caller", 1) };
    auto summary = std::async(std::launch::async, [&] { return bench::runLoad(calls, 1); });
    ASSERT_TRUE(mesh.waitFor([&] { return mesh.metric(mesh.address("node-metrics", 0), "calls") > 100; }));
    mesh.terminate("t2");
    EXPECT_EQ(mesh.waitForExit("t2", Millis(15000)), 0);
    mesh.terminate("node-3");
    EXPECT_EQ(mesh.waitForExit("node-3", Millis(20000)), 0);
    auto result = summary.get();
    EXPECT_EQ(result.ok, result.sent) << "lost " << result.lost << " not run " << result.notRun << " unknown "
                                      << result.unknown << " failed " << result.failed;
}

// A stopping node waits for its own callers to move to other nodes. If it drained its targets for all of that time, the
// service would lose their slots for as long.
TEST(CallGuaranteesHoldUnderFaults, TargetsOfAStoppingNodeServeOtherNodesDuringTheGracePeriod)
{
    bench::MeshOptions options;
    options.nodes = 3;
    options.extraNodeSettings = "drain_grace_ms: 20000\n";
    Mesh mesh(options);
    startMesh(mesh);
    mesh.terminate("node-1");
    http::HttpRequest get { "GET", "/get", { { "Host", "a.example" } }, "" };
    auto isStopping = [&] {
        auto response = mesh.send(mesh.address("caller", 1), get);
        return http::findHeader(response.headers, "Connection") == "close";
    };
    ASSERT_TRUE(mesh.waitFor(isStopping));
    auto hasLeft = [&] {
        auto state = mesh.nodeState(0);
        return std::any_of(state["targets"].begin(), state["targets"].end(), [](const auto& it) {
            return it["target"] == "t1" && it["state"] != static_cast<int>(wire::TargetState::SERVING);
        });
    };
    // Much longer than an announcement takes to reach all nodes, and much shorter than the grace period.
    EXPECT_FALSE(mesh.waitFor(hasLeft, Millis(3000)));
    EXPECT_EQ(mesh.send(mesh.address("caller", 0), get).status, 200);
}

TEST(CallGuaranteesHoldUnderFaults, InvalidRequestsGetErrorsWithARemedy)
{
    bench::MeshOptions options;
    options.nodes = 1;
    Mesh mesh(options);
    startMesh(mesh);
    auto to = mesh.address("caller", 0);
    auto status = [&](const std::string& method, const std::string& path, const http::HttpHeaders& headers,
                      const std::string& body) {
        auto response = mesh.send(to, { method, path, headers, body });
        if (response.status >= 400) {
            EXPECT_EQ(http::findHeader(response.headers, "X-Pomelowind-Outcome"), "not-run") << path;
            EXPECT_NE(response.body.find("remedy"), std::string::npos) << path;
        }
        return response.status;
    };
    http::HttpHeaders host { { "Host", "a.example" } };
    EXPECT_EQ(status("GET", "/get", host, ""), 200);
    EXPECT_EQ(status("GET", "/nowhere", host, ""), 404);
    EXPECT_EQ(status("DELETE", "/get", host, ""), 405);
    EXPECT_EQ(status("POST", "/post", { { "Host", "a.example" }, { "Idempotency-Key", "not-a-uuid" } }, ""), 422);
    EXPECT_EQ(status("POST", "/post", host, std::string(2 << 20, 'x')), 413);
    EXPECT_EQ(status("GET", "/get", { { "Host", "a.example" }, { "X-Pomelowind-Depth", "99" } }, ""), 508);
}

TEST(CallGuaranteesHoldUnderFaults, ResendThroughAnotherNodeGetsTheFirstAnswer)
{
    bench::MeshOptions options;
    options.nodes = 4;
    Mesh mesh(options);
    startMesh(mesh);
    std::string key = base::makeUuidV7(base::SystemClock().wallMs());
    http::HttpRequest request { "POST", "/post", { { "Host", "a.example" }, { "Idempotency-Key", key } }, "first" };
    auto first = mesh.send(mesh.callerAddresses()[0], request);
    auto second = mesh.send(mesh.callerAddresses()[3], request);
    EXPECT_EQ(first.status, 200);
    EXPECT_EQ(second.body, first.body);
    EXPECT_EQ(http::findHeader(second.headers, "X-Pomelowind-Replayed"), "true");
    request.body = "other";
    EXPECT_EQ(mesh.send(mesh.callerAddresses()[1], request).status, 422);
    EXPECT_EQ(mesh.runCountsByKey()[key], 1);
}

TEST(CallGuaranteesHoldUnderFaults, BadVersionIsRolledBackWhenTheLeaderCrashes)
{
    bench::MeshOptions options;
    options.nodes = 8;
    Mesh mesh(options);
    startMesh(mesh);
    auto calls = load(mesh, "/get", 300, 25);
    calls.paths = { "/get", "/other" };
    auto summary = std::async(std::launch::async, [&] { return bench::runLoad(calls, 1); });
    for (int i = 0; i < 8; ++i)
        mesh.startTarget({ "n" + std::to_string(i), "s", "v2", i,
            "bad_kind: fail\nbad_route: /other\nbad_rate: 0.5\nbad_after_ms: 4000\n" });
    ASSERT_TRUE(mesh.waitFor([&] { return mesh.readOperatorApi("/v1/status")["targets"].size() == 16; }));
    ASSERT_EQ(mesh.startMove("m", "s", "v2", 20000, 3000).first, 200);
    auto move = [&] { return mesh.readOperatorApi("/v1/moves/m"); };
    ASSERT_TRUE(mesh.waitFor([&] { return move().value("share_permille", 0) > 0; }));
    mesh.kill("control-" + std::to_string(mesh.leader()));
    EXPECT_TRUE(mesh.waitFor([&] { return move().value("answer", "") == "taken back"; }, Millis(25000))) << move();
    EXPECT_TRUE(mesh.waitFor([&] {
        for (int i = 0; i < 8; ++i) {
            if (mesh.nodeState(i).value("/services/s/permille"_json_pointer, 1) != 0)
                return false;
        }
        return true;
    }));
    auto result = summary.get();
    EXPECT_EQ(result.lost, 0u);
    EXPECT_LT(result.failed, result.sent / 20);
}
