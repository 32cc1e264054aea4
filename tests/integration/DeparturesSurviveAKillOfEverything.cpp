// The failure of review/12 with real processes and the product's own announcements: a departure that was acknowledged
// holds after a kill of all control hosts and nodes, although an announcement from before it arrives afterwards.

#include "benchmarks/Mesh.h"
#include "pomelowind/base/Wire.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace pomelowind;
using bench::Mesh;
using nlohmann::json;

namespace {

constexpr int NODES = 2;
constexpr int64_t BORN = 1000;

class DeparturesSurviveAKillOfEverything : public testing::Test {
protected:
    DeparturesSurviveAKillOfEverything()
        : mesh(options())
    {
        mesh.startAll();
        mesh.createServices({ "s" });
    }

    static bench::MeshOptions options()
    {
        bench::MeshOptions out;
        out.nodes = NODES;
        return out;
    }

    // Announces a target to the first node and returns the status of the answer.
    int announce(const std::string& target, int64_t incarnation, const json& sequence, const std::string& state)
    {
        json body { { "target", target }, { "service", "s" }, { "version", "v1" },
            { "address", mesh.address("target", target == "t" ? 0 : 1).text() }, { "slots", 4 },
            { "incarnation", incarnation }, { "sequence", sequence }, { "state", state } };
        return mesh
            .send(mesh.address("announce", 0), { "POST", "/v1/announce", { { "Host", "node" } }, body.dump(), {} })
            .status;
    }

    bool isServing(const std::string& target, int node)
    {
        auto state = mesh.nodeState(node);
        return std::any_of(state["targets"].begin(), state["targets"].end(), [&](const json& it) {
            return it["target"] == target && it["state"] == static_cast<int>(wire::TargetState::SERVING);
        });
    }

    void killAndStartEverything()
    {
        std::vector<std::string> all;
        for (int i = 0; i < mesh.options().controlHosts; ++i)
            all.push_back("control-" + std::to_string(i));
        for (int i = 0; i < NODES; ++i)
            all.push_back("node-" + std::to_string(i));
        for (const auto& it : all)
            mesh.kill(it);
        for (const auto& it : all)
            mesh.startAgain(it);
    }

    Mesh mesh;
};

}

TEST_F(DeparturesSurviveAKillOfEverything, AndALateAnnouncement)
{
    ASSERT_TRUE(mesh.waitUntilApplied(NODES));
    ASSERT_EQ(announce("t", BORN, 2, "serving"), 200);
    ASSERT_TRUE(mesh.waitFor([&] { return isServing("t", 1); }));
    ASSERT_TRUE(mesh.waitFor([&] { return announce("t", BORN, 4, "leaving") == 200; }));
    killAndStartEverything();
    // An announcement that is not late shows when the nodes use targets again.
    bool isLateOneUsed = false;
    ASSERT_TRUE(mesh.waitFor([&] {
        announce("t", BORN, 3, "serving");
        announce("other", BORN, 1, "serving");
        isLateOneUsed = isLateOneUsed || isServing("t", 0) || isServing("t", 1);
        return isServing("other", 0) && isServing("other", 1);
    }));
    EXPECT_FALSE(isLateOneUsed);
    EXPECT_FALSE(isServing("t", 0) || isServing("t", 1));
    ASSERT_EQ(announce("t", BORN + 1, 1, "serving"), 200);
    EXPECT_TRUE(mesh.waitFor([&] { return isServing("t", 1); })) << "the next incarnation";
}

TEST_F(DeparturesSurviveAKillOfEverything, UnreadableSequencesAreRejected)
{
    for (const json& sequence : { json("four"), json(-1), json::array(), json(int64_t(1) << 60) })
        EXPECT_EQ(announce("t", BORN, sequence, "serving"), 422) << sequence;
}
