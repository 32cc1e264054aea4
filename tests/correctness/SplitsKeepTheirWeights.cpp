// The parts of a weighted split receive their shares of the requests of all nodes together. Guards against shares that
// are wrong when each node sends few requests, when weights change often or when nodes restart.

#include "pomelowind/callers/WeightedSplitter.h"

#include <gtest/gtest.h>
#include <map>
#include <vector>

using namespace pomelowind;

namespace {

// Deviation that users accept once this many requests were sent.
constexpr int MIN_REQUESTS = 300;
constexpr double MAX_SHARE_DEVIATION = 0.1;

using Weights = std::vector<int>;

wire::Route splitRoute(const Weights& weights)
{
    wire::Route out;
    out.name = "r";
    for (size_t i = 0; i < weights.size(); ++i) {
        wire::SplitPart part;
        part.serviceName = std::string(1, static_cast<char>('a' + i));
        part.weight = weights[i];
        out.split.push_back(part);
    }
    return out;
}

struct Mesh {
    explicit Mesh(int nodes, uint64_t seed)
    {
        for (int i = 0; i < nodes; ++i)
            splitters.emplace_back(seed * 1000 + static_cast<uint64_t>(i));
    }

    // Each node sends `calls` requests.
    void send(const wire::Route& route, int calls)
    {
        for (auto& it : splitters) {
            for (int i = 0; i < calls; ++i) {
                ++seen[it.choose(route)];
                ++total;
            }
        }
    }

    void expectShares(const Weights& weights, const std::string& description) const
    {
        int sum = 0;
        for (int it : weights)
            sum += it;
        for (size_t i = 0; i < weights.size(); ++i) {
            auto found = seen.find(std::string(1, static_cast<char>('a' + i)));
            double share = found == seen.end() ? 0 : static_cast<double>(found->second) / total;
            double expected = static_cast<double>(weights[i]) / sum;
            EXPECT_NEAR(share, expected, MAX_SHARE_DEVIATION)
                << description << ", part " << i << " of " << total << " requests";
            if (!weights[i]) {
                EXPECT_EQ(share, 0) << description;
            }
        }
    }

    std::vector<callers::WeightedSplitter> splitters;
    std::map<std::string, int> seen;
    int total { 0 };
};

const std::vector<Weights> SPLITS = { { 70, 30 }, { 90, 10 }, { 50, 50 }, { 60, 0, 40 }, { 50, 30, 20 } };

}

TEST(SplitsKeepTheirWeights, SharesAreRightWhenManyNodesSendFewCalls)
{
    for (int nodes : { 1, 10, 65, 200, 580 }) {
        for (int calls : { 1, 2, 3, 10, 300 }) {
            if (nodes * calls < MIN_REQUESTS)
                continue;
            for (const auto& weights : SPLITS) {
                Mesh mesh(nodes, 7);
                mesh.send(splitRoute(weights), calls);
                mesh.expectShares(weights, std::to_string(nodes) + " nodes");
            }
        }
    }
}

TEST(SplitsKeepTheirWeights, SharesAreRightWhenWeightsChangeOften)
{
    // Each configuration is active for only one call per node, so a change of weights must not reset the split.
    for (int nodes : { 65, 200, 580 }) {
        Mesh mesh(nodes, 11);
        for (int i = 0; i < 20; ++i) {
            mesh.send(splitRoute({ 80, 20 }), 1);
            auto seenBefore = mesh.seen;
            int totalBefore = mesh.total;
            mesh.send(splitRoute({ 30, 70 }), 1);
            mesh.seen = seenBefore;
            mesh.total = totalBefore;
        }
        mesh.expectShares({ 80, 20 }, std::to_string(nodes) + " nodes, changing weights");
    }
}

TEST(SplitsKeepTheirWeights, SharesAreRightWhenNodesRestartAfterEveryCall)
{
    std::map<std::string, int> seen;
    int total = 0;
    for (uint64_t round = 0; round < 10; ++round) {
        Mesh mesh(65, 100 + round);
        mesh.send(splitRoute({ 70, 30 }), 1);
        for (const auto& [name, n] : mesh.seen)
            seen[name] += n;
        total += mesh.total;
    }
    EXPECT_NEAR(static_cast<double>(seen["a"]) / total, 0.7, MAX_SHARE_DEVIATION);
}

TEST(SplitsKeepTheirWeights, TwoWaySplitIsExactToWithinOneRequestOnEachNode)
{
    for (uint64_t seed = 0; seed < 50; ++seed) {
        callers::WeightedSplitter splitter(seed);
        int light = 0;
        for (int i = 1; i <= 500; ++i) {
            light += splitter.choose(splitRoute({ 83, 17 })) == "b";
            EXPECT_NEAR(light, i * 0.17, 1) << seed << " " << i;
        }
    }
}
