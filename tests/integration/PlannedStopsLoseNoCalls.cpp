// Planned stops, starts and reloads of real processes lose no calls, whatever signals come when.

#include "benchmarks/Mesh.h"
#include "benchmarks/SoakCallers.h"
#include "benchmarks/SoakRun.h"
#include "pomelowind/base/Wire.h"

#include <algorithm>
#include <fstream>
#include <future>
#include <gtest/gtest.h>

using namespace pomelowind;
using base::Millis;
using bench::ProcessEnd;

namespace {

std::vector<std::string> violationsOfSeed(uint64_t seed, int acts)
{
    bench::SoakOptions options;
    options.seed = seed;
    options.nodes = 4;
    options.acts = acts;
    return bench::runSoak(options).violations;
}

bool logHolds(const bench::Mesh& mesh, const std::string& process, const std::string& text)
{
    std::ifstream in(mesh.folder() + "/" + process + ".log");
    return std::string(std::istreambuf_iterator<char>(in), {}).find(text) != std::string::npos;
}

}

TEST(PlannedStopsLoseNoCalls, WhileFewProcessesStopAtATime)
{
    EXPECT_EQ(violationsOfSeed(1, 1), std::vector<std::string>());
}

TEST(PlannedStopsLoseNoCalls, WhileAllProcessesMayStopAtATime)
{
    EXPECT_EQ(violationsOfSeed(2, 2), std::vector<std::string>());
}

// The submission waits for a majority when the stop begins.
TEST(PlannedStopsLoseNoCalls, OfOperatorsAtAControlHostWithoutAMajority)
{
    bench::MeshOptions options;
    options.nodes = 0;
    bench::Mesh mesh(options);
    mesh.startAll();
    int leader = mesh.leader();
    ASSERT_GE(leader, 0);
    std::string process = "control-" + std::to_string(leader);
    mesh.setFault("member/", { false, true, true, Millis(0) });
    auto request = bench::Mesh::operatorRequest(
        "PUT", "/v1/services/s", R"({"version":"v1","request_id":"r1","base_version":0})");
    auto submission = std::async(std::launch::async, [&] {
        bench::CallRecord record;
        bench::CallerConnection connection;
        if (connection.ensureOpen(mesh.address("operator", leader)))
            connection.exchange(request, Millis(0), record);
        return record;
    });
    ASSERT_TRUE(mesh.waitFor([&] { return !mesh.readOperatorApi("/v1/status", leader).value("fresh", true); }));
    mesh.terminate(process);
    EXPECT_EQ(mesh.waitForEnd(process, Millis(20000)), ProcessEnd());
    auto record = submission.get();
    EXPECT_EQ(record.end, bench::CallEnd::Answered) << "held for " << record.heldMs << " ms";
}

// Other nodes must learn that the targets leave, though the parent of their node stops too.
TEST(PlannedStopsLoseNoCalls, OfTargetsBesideANodeWhoseParentStopsToo)
{
    bench::MeshOptions options;
    options.nodes = 3;
    options.extraNodeSettings = "drain_grace_ms: 1000\n";
    bench::Mesh mesh(options);
    mesh.startAll();
    for (int i = 0; i < options.nodes; ++i)
        mesh.startTarget({ "t" + std::to_string(i), "s", "v1", i, "" });
    // Its calls last for most of their route's timeout, so that the stop lasts as long.
    std::string slow = "bad_kind: slow\nbad_factor: 600\nexponential: false\n";
    mesh.startTarget({ "own", "own", "v1", 1, slow });
    mesh.createServices({ "s", "own" });
    ASSERT_TRUE(mesh.waitUntilApplied(options.nodes));
    auto isKnownToServe = [&] {
        auto state = mesh.nodeState(0);
        return std::any_of(state["targets"].begin(), state["targets"].end(), [](const auto& it) {
            return it["target"] == "t1" && it["state"] == static_cast<int>(wire::TargetState::SERVING);
        });
    };
    ASSERT_TRUE(mesh.waitFor([&] { return isKnownToServe() && mesh.nodeState(1).value("admitted", false); }));
    auto call = std::async(std::launch::async, [&] {
        return mesh.send(mesh.address("caller", 1), { "POST", "/own/post", { { "Host", "a.example" } }, "" });
    });
    ASSERT_TRUE(mesh.waitFor([&] { return !mesh.runCountsByKey().empty(); }));
    std::string parent = mesh.nodeState(1).value("parent", "");
    ASSERT_EQ(parent.rfind("control-", 0), 0u) << parent;
    mesh.terminate(parent);
    ASSERT_TRUE(mesh.waitFor([&] { return logHolds(mesh, parent, " event=control.stopped "); }));
    mesh.terminate("node-1");
    bool isServing = true;
    std::optional<ProcessEnd> end;
    ASSERT_TRUE(mesh.waitFor([&] {
        isServing = isKnownToServe();
        end = mesh.waitForEnd("node-1", Millis(0));
        return !isServing || end;
    }));
    EXPECT_FALSE(isServing) << "node-1 has ended, and node-0 still sends calls to its target";
    EXPECT_EQ(call.get().status, 200);
}

// Its peers take a host that accepts links for one that lives.
TEST(PlannedStopsLoseNoCalls, OfPeersOfAControlHostThatHasStopped)
{
    bench::MeshOptions options;
    options.nodes = 0;
    bench::Mesh mesh(options);
    mesh.startAll();
    ASSERT_GE(mesh.leader(), 0);
    mesh.terminate("control-0");
    ASSERT_TRUE(mesh.waitFor([&] { return logHolds(mesh, "control-0", " event=control.stopped "); }));
    bench::CallerConnection connection;
    EXPECT_FALSE(connection.ensureOpen(mesh.address("control", 0)));
    EXPECT_EQ(mesh.waitForEnd("control-0", Millis(20000)), ProcessEnd());
}
