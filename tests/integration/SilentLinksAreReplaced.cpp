// Guards against links that stay in use although the peer receives or sends nothing on them any more, as after a proxy
// has lost its state: the connection stays open, no byte passes, and only a new connection would work.

#include "benchmarks/Mesh.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Millis;
using bench::Mesh;
using standins::ProxyFault;

namespace {

// The ways in which an open connection falls silent.
std::vector<ProxyFault> silences()
{
    ProxyFault forward;
    forward.silenceForward = true;
    ProxyFault backward;
    backward.silenceBackward = true;
    ProxyFault both = forward;
    both.silenceBackward = true;
    return { forward, backward, both };
}

nlohmann::json accountBody(int n)
{
    return { { "template", "t" }, { "parameters", { { "host", "a.example" }, { "note", std::to_string(n) } } } };
}

// Waits until a control host can tell the account's version, which none can while there is no leader.
int64_t accountVersion(Mesh& mesh)
{
    int64_t out = 0;
    mesh.waitFor([&] {
        out = mesh.readOperatorApi("/v1/accounts/a").value("base_version", int64_t(0));
        return out > 0;
    });
    return out;
}

}

TEST(SilentLinksAreReplaced, BetweenControlHosts)
{
    bench::MeshOptions options;
    options.nodes = 1;
    Mesh mesh(options);
    mesh.startAll();
    mesh.createServices({ "s" });
    int n = 0;
    for (const auto& it : silences()) {
        SCOPED_TRACE(n);
        mesh.setFault("member/", it);
        mesh.setFault("member/", {});
        EXPECT_EQ(mesh.submit("PUT", "/v1/accounts/a", accountBody(++n), accountVersion(mesh)).first, 200);
        EXPECT_TRUE(mesh.waitUntilApplied(1));
    }
}

TEST(SilentLinksAreReplaced, BetweenNodesAndTheirParents)
{
    bench::MeshOptions options;
    options.nodes = 4;
    Mesh mesh(options);
    mesh.startAll();
    mesh.createServices({ "s" });
    ASSERT_TRUE(mesh.waitUntilApplied(4));
    int n = 0;
    for (const auto& it : silences()) {
        SCOPED_TRACE(n);
        for (const char* link : { "feed/", "mesh/" }) {
            mesh.setFault(link, it);
            mesh.setFault(link, {});
        }
        EXPECT_EQ(mesh.submit("PUT", "/v1/accounts/a", accountBody(++n), accountVersion(mesh)).first, 200);
        EXPECT_TRUE(mesh.waitUntilApplied(4));
    }
}

TEST(SilentLinksAreReplaced, BetweenCallersAndTargets)
{
    bench::MeshOptions options;
    options.nodes = 2;
    Mesh mesh(options);
    mesh.startAll();
    mesh.startTarget({ "t", "s", "v1", 1, "" });
    mesh.createServices({ "s" });
    auto isServed = [&] {
        return mesh.send(mesh.address("caller", 0), { "GET", "/get", { { "Host", "a.example" } }, "" }).status == 200;
    };
    ASSERT_TRUE(mesh.waitFor(isServed));
    for (const auto& it : silences()) {
        mesh.setFault("calls/", it);
        mesh.setFault("calls/", {});
        EXPECT_TRUE(mesh.waitFor(isServed));
    }
}
