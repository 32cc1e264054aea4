// Guards against a stand-in target of real processes that names a rate in the product's own protocol and gets more.

#include "benchmarks/Mesh.h"

#include <chrono>
#include <gtest/gtest.h>

using namespace pomelowind;

TEST(CappedTargetGetsNoMoreCalls, WhenCallersOfAllNodesAskForTwentyTimesAsMuch)
{
    constexpr double MAX_RATE = 10;
    bench::MeshOptions options;
    options.nodes = 3;
    options.dataCentres = 1;
    bench::Mesh mesh(options);
    mesh.startAll();
    mesh.startTarget({ "t0", "s", "v1", 0, "max_rate: 10\n" });
    mesh.createServices({ "s" });
    ASSERT_TRUE(mesh.waitUntilApplied(options.nodes));
    auto isServed = [&] {
        return mesh.send(mesh.address("caller", 1), { "GET", "/get", { { "Host", "a.example" } }, "", {} }).status
            == 200;
    };
    ASSERT_TRUE(mesh.waitFor(isServed));
    standins::LoadOptions load;
    load.addresses = mesh.callerAddresses();
    load.hosts = { "a.example" };
    load.paths = { "/get" };
    load.ratePerSecond = 20 * MAX_RATE;
    load.seconds = 3;
    auto begin = std::chrono::steady_clock::now();
    auto result = bench::runLoad(load, 1);
    std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    // The gate may have saved up the calls of half a second.
    EXPECT_LE(static_cast<double>(result.ok), MAX_RATE * (elapsed.count() + 0.5) + 1);
    EXPECT_GT(result.ok, 0u);
    EXPECT_TRUE(mesh.waitFor([&] { return mesh.metric(mesh.address("node-metrics", 0), "target_limit") == MAX_RATE; }));
}
