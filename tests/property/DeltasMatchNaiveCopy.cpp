// Differential test of deltas: a node that receives deltas, some lost and some repeated late, must end with exactly the
// source's state, as a node would that copies the full state each time. Its version must never decrease, and it must
// refuse a route to a missing service.

#include "pomelowind/base/Random.h"
#include "pomelowind/config/ConfigState.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using config::ConfigState;

namespace {

wire::Resource serviceResource(const std::string& name, const std::string& version)
{
    wire::ServiceResource service;
    service.name = name;
    service.stable = version;
    wire::Resource out;
    out.key = config::serviceKey(name);
    out.__set_serviceResource(service);
    return out;
}

wire::Resource accountResource(const std::string& name, const std::string& service)
{
    wire::AccountResource account;
    account.name = name;
    wire::Route route;
    route.host = name;
    route.path = "/";
    route.serviceName = service;
    account.routes.push_back(route);
    wire::Resource out;
    out.key = config::accountKey(name);
    out.__set_accountResource(account);
    return out;
}

ConfigState randomChange(const ConfigState& state, base::Random& random)
{
    std::string service = "s" + std::to_string(random.uniformBelow(4));
    std::string account = "a" + std::to_string(random.uniformBelow(12));
    auto next = state.withResource(serviceResource(service, "v" + std::to_string(random.uniformBelow(9))));
    if (random.bernoulli(0.3) && state.find(config::accountKey(account)))
        return next.withoutResource(config::accountKey(account));
    return next.withResource(accountResource(account, service));
}

}

TEST(DeltasMatchNaiveCopy, OverLostAndRepeatedDeltas)
{
    for (uint64_t seed = 1; seed <= 300; ++seed) {
        base::Random random(seed);
        ConfigState source;
        auto node = std::make_shared<const ConfigState>();
        std::vector<wire::Delta> sentDeltas;
        for (int i = 0; i < 200; ++i) {
            source = randomChange(source, random);
            auto delta = source.deltaSince(node->version());
            sentDeltas.push_back(delta);
            if (random.bernoulli(0.4))
                continue; // lost
            const auto& chosen = random.bernoulli(0.2) ? sentDeltas[random.uniformBelow(sentDeltas.size())] : delta;
            auto result = node->apply(chosen);
            if (result.state) {
                ASSERT_GT(result.state->version(), node->version()) << "seed " << seed;
                node = result.state;
            }
        }
        auto last = node->apply(source.deltaSince(node->version()));
        if (source.version() > node->version()) {
            ASSERT_EQ(last.refusal, config::ApplyRefusal::None) << "seed " << seed;
            node = last.state;
        }
        ASSERT_EQ(node->resources(), source.resources()) << "seed " << seed;
        ASSERT_EQ(node->hash(), source.hash()) << "seed " << seed;
    }
}

TEST(DeltasMatchNaiveCopy, SizeDependsOnStateNotOnMissedChanges)
{
    ConfigState source = ConfigState().withResource(serviceResource("s", "v0"));
    for (int i = 0; i < 5; ++i)
        source = source.withResource(accountResource("a" + std::to_string(i), "s"));
    auto before = source.version();
    auto after500 = source;
    for (int i = 0; i < 500; ++i)
        after500 = after500.withResource(serviceResource("s", "v" + std::to_string(i)));
    EXPECT_EQ(after500.deltaSince(before).changed.size(), 1u);
}

TEST(DeltasMatchNaiveCopy, AfterManyRemovalsAnOldBaseGetsTheFullState)
{
    ConfigState source = ConfigState().withResource(serviceResource("s", "v0"));
    auto node = std::make_shared<const ConfigState>(source);
    for (int i = 0; i < 700; ++i) {
        std::string name = "a" + std::to_string(i);
        source = source.withResource(accountResource(name, "s"));
        if (i == 0)
            node = std::make_shared<const ConfigState>(source);
        source = source.withoutResource(config::accountKey(name));
    }
    auto delta = source.deltaSince(node->version());
    EXPECT_EQ(delta.base, 0);
    auto result = node->apply(delta);
    ASSERT_TRUE(result.state);
    EXPECT_EQ(result.state->resources(), source.resources());
}

TEST(DeltasMatchNaiveCopy, ADeltaWithADanglingRouteIsRefused)
{
    auto state = std::make_shared<const ConfigState>(ConfigState().withResource(serviceResource("s", "v1")));
    auto broken = state->withResource(accountResource("a", "missing"));
    auto result = state->apply(broken.deltaSince(state->version()));
    EXPECT_EQ(result.refusal, config::ApplyRefusal::DanglingRoute);
    EXPECT_FALSE(result.state);
}

TEST(DeltasMatchNaiveCopy, ADeltaWithAWrongHashIsRefused)
{
    auto state = std::make_shared<const ConfigState>(ConfigState().withResource(serviceResource("s", "v1")));
    auto delta = state->withResource(serviceResource("t", "v1")).deltaSince(state->version());
    delta.hash ^= 1;
    EXPECT_EQ(state->apply(delta).refusal, config::ApplyRefusal::WrongHash);
}
