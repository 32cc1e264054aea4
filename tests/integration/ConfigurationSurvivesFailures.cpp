// Distribution of configuration, checked with real control host and node processes behind the fault proxy: killed
// processes, lost disks, partitions, mass reconnects and concurrent writes.

#include "benchmarks/Mesh.h"

#include <fstream>
#include <future>
#include <gtest/gtest.h>

using namespace pomelowind;
using base::Millis;
using bench::Mesh;
using nlohmann::json;

namespace {

json accountBody(const std::string& note)
{
    return { { "template", "t" }, { "parameters", { { "host", "a.example" }, { "note", note } } } };
}

int64_t accountBase(Mesh& mesh) { return mesh.readOperatorApi("/v1/accounts/a").value("base_version", int64_t { 0 }); }

std::string accountNote(Mesh& mesh)
{
    return mesh.readOperatorApi("/v1/accounts/a").value("parameters", json::object()).value("note", "");
}

}

TEST(ConfigurationSurvivesFailures, SubmissionsGetOneAnswerWhileLeadersAreKilled)
{
    bench::MeshOptions options;
    options.nodes = 4;
    Mesh mesh(options);
    mesh.startAll();
    mesh.createServices({ "s" });
    ASSERT_TRUE(mesh.waitUntilApplied(4));
    std::vector<std::pair<std::string, json>> accepted;
    for (int i = 0; i < 12; ++i) {
        if (i == 4 || i == 8)
            mesh.kill("control-" + std::to_string(mesh.leader()));
        std::string id = "request-" + std::to_string(i);
        auto [status, answer] = mesh.submit("PUT", "/v1/accounts/b" + std::to_string(i), accountBody("x"), 0, id);
        ASSERT_EQ(status, 200) << i << answer;
        accepted.emplace_back(id, answer);
        if (i == 4) {
            for (int c = 0; c < 3; ++c) {
                if (!mesh.isRunning("control-" + std::to_string(c)))
                    mesh.startControl(c, false);
            }
            ASSERT_TRUE(
                mesh.waitFor([&] { return mesh.readOperatorApi("/v1/members", mesh.leader()).contains("leader"); }));
        }
    }
    for (int i = 0; i < 12; ++i) {
        auto [status, answer]
            = mesh.submit("PUT", "/v1/accounts/b" + std::to_string(i), accountBody("x"), 0, accepted[i].first);
        EXPECT_EQ(answer, accepted[i].second) << "a resent request must get its first answer again";
    }
    EXPECT_TRUE(mesh.waitUntilApplied(4));
}

TEST(ConfigurationSurvivesFailures, AcceptedChangeSurvivesASecondLostDiskRightAfterARepair)
{
    bench::MeshOptions options;
    options.nodes = 1;
    Mesh mesh(options);
    mesh.startAll();
    mesh.createServices({ "s" });
    ASSERT_EQ(mesh.submit("PUT", "/v1/accounts/a", accountBody("kept"), accountBase(mesh)).first, 200);
    int first = (mesh.leader() + 1) % 3;
    mesh.kill("control-" + std::to_string(first));
    mesh.deleteDataFolder(first);
    mesh.startControl(first, false);
    ASSERT_TRUE(mesh.waitFor([&] {
        auto members = mesh.readOperatorApi("/v1/members", first);
        return !members.value("recovering", true);
    }));
    int second = (first + 1) % 3;
    mesh.kill("control-" + std::to_string(second));
    mesh.deleteDataFolder(second);
    EXPECT_TRUE(mesh.waitFor([&] { return accountNote(mesh) == "kept"; }));
    EXPECT_EQ(mesh.submit("PUT", "/v1/accounts/a", accountBody("later"), accountBase(mesh)).first, 200);
}

TEST(ConfigurationSurvivesFailures, PartitionedHostRejoinsWithoutAnElection)
{
    bench::MeshOptions options;
    options.nodes = 2;
    Mesh mesh(options);
    mesh.startAll();
    mesh.createServices({ "s" });
    ASSERT_TRUE(mesh.waitUntilApplied(2));
    int leader = mesh.leader();
    int silent = (leader + 1) % 3;
    std::string id = std::to_string(silent);
    standins::ProxyFault held { false, true, true, Millis(0) };
    for (int i = 0; i < 3; ++i) {
        mesh.setFault("member/" + std::to_string(i) + "/" + id, held);
        mesh.setFault("member/" + id + "/" + std::to_string(i), held);
    }
    int64_t term = mesh.readOperatorApi("/v1/status", leader)["term"].get<int64_t>();
    for (int i = 0; i < 5; ++i)
        ASSERT_EQ(mesh.submit("PUT", "/v1/accounts/a", accountBody(std::to_string(i)), accountBase(mesh)).first, 200);
    ASSERT_TRUE(mesh.waitFor([&] { return !mesh.readOperatorApi("/v1/status", silent).value("fresh", true); }));
    EXPECT_TRUE(mesh.waitUntilApplied(2)) << "children of the silent host must change to another parent";
    mesh.setFault("member/", {});
    ASSERT_TRUE(mesh.waitFor([&] { return mesh.readOperatorApi("/v1/status", silent).value("fresh", false); }));
    EXPECT_EQ(mesh.readOperatorApi("/v1/status", leader)["term"].get<int64_t>(), term);
    EXPECT_EQ(mesh.readOperatorApi("/v1/status", silent)["leader"], "control-" + std::to_string(leader));
}

TEST(ConfigurationSurvivesFailures, AllNodesRestartAtOnceAndServeNoOlderVersion)
{
    bench::MeshOptions options;
    options.nodes = 16;
    Mesh mesh(options);
    mesh.startAll();
    mesh.createServices({ "s" });
    ASSERT_TRUE(mesh.waitUntilApplied(16));
    int64_t floor = mesh.readOperatorApi("/v1/status")["version"].get<int64_t>();
    for (int i = 0; i < 16; ++i)
        mesh.kill("node-" + std::to_string(i));
    for (int i = 0; i < 60; ++i)
        ASSERT_EQ(mesh.submit("PUT", "/v1/accounts/a", accountBody(std::to_string(i)), accountBase(mesh)).first, 200);
    for (int i = 0; i < 16; ++i)
        mesh.startNode(i);
    ASSERT_TRUE(mesh.waitUntilApplied(16, Millis(40000)));
    for (int i = 0; i < 16; ++i) {
        auto state = mesh.nodeState(i);
        EXPECT_TRUE(state["serving"].get<bool>());
        EXPECT_GE(state["version"].get<int64_t>(), floor + 60);
    }
}

TEST(ConfigurationSurvivesFailures, ConcurrentChangesHaveExactlyOneWinner)
{
    bench::MeshOptions options;
    options.nodes = 1;
    Mesh mesh(options);
    mesh.startAll();
    mesh.createServices({ "s" });
    for (int i = 0; i < 20; ++i) {
        int64_t base = accountBase(mesh);
        auto race = [&](const std::string& note) {
            return mesh.submit("PUT", "/v1/accounts/a", accountBody(note), base).first;
        };
        auto other = std::async(std::launch::async, race, "left");
        int right = race("right");
        int left = other.get();
        EXPECT_EQ(left + right, 200 + 409) << left << " " << right;
        ASSERT_TRUE(mesh.waitFor([&] { return accountNote(mesh) == (left == 200 ? "left" : "right"); }));
    }
}

TEST(ConfigurationSurvivesFailures, NodeRestartsInAPartitionedDataCentreAndServesItsLastVersion)
{
    bench::MeshOptions options;
    options.nodes = 12;
    Mesh mesh(options);
    mesh.startAll();
    mesh.startTarget({ "t1", "s", "v1", 1, "" });
    mesh.startTarget({ "t5", "s", "v1", 5, "" });
    mesh.createServices({ "s" });
    ASSERT_TRUE(mesh.waitUntilApplied(12));
    int64_t version = mesh.nodeState(1)["version"].get<int64_t>();
    mesh.setFault("feed/dc1", { true, false, false, Millis(0) });
    mesh.kill("node-9");
    mesh.startNode(9);
    ASSERT_TRUE(mesh.waitFor([&] { return mesh.nodeState(9).value("serving", false); }, Millis(30000)));
    EXPECT_GE(mesh.nodeState(9)["version"].get<int64_t>(), version);
    auto call = [&] {
        return mesh.send(mesh.address("caller", 9), { "GET", "/get", { { "Host", "a.example" } }, "" }).status == 200;
    };
    EXPECT_TRUE(mesh.waitFor(call)) << "a partitioned data centre must keep serving";
    ASSERT_EQ(mesh.submit("PUT", "/v1/accounts/a", accountBody("new"), accountBase(mesh)).first, 200);
    mesh.setFault("feed/", {});
    EXPECT_TRUE(mesh.waitUntilApplied(12));
}

TEST(ConfigurationSurvivesFailures, PeersWithoutTheKeyAndUnauthorizedTeamsAreRefused)
{
    bench::MeshOptions options;
    options.nodes = 1;
    Mesh mesh(options);
    mesh.startAll();
    mesh.createServices({ "s" });
    ASSERT_TRUE(mesh.waitUntilApplied(1));
    auto to = mesh.address("operator", 0);
    auto put = [&](const std::string& token) {
        json body { { "version", "v9" }, { "request_id", "x" }, { "base_version", 0 } };
        return mesh
            .send(to,
                { "PUT", "/v1/services/s2", { { "Host", "c" }, { "Authorization", "Bearer " + token } }, body.dump() })
            .status;
    };
    EXPECT_EQ(put("nobody"), 401);
    EXPECT_EQ(put("viewer"), 403);
    auto audit = mesh.readOperatorApi("/v1/audit");
    EXPECT_EQ(audit[0]["result"], "denied");
    EXPECT_EQ(audit[0]["actor"], "viv");
    mesh.kill("node-0");
    mesh.setMeshKey("wrong-key-0123456789abcdef");
    mesh.startNode(0);
    auto refused = [&] {
        std::ifstream in(mesh.folder() + "/node-0.log");
        std::string log((std::istreambuf_iterator<char>(in)), {});
        return log.find("does not hold the mesh's key") != std::string::npos;
    };
    ASSERT_TRUE(mesh.waitFor(refused));
    EXPECT_FALSE(mesh.nodeState(0).value("admitted", true));
}
