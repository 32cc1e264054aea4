// Tests of the fan-out tree, parent selection, admission of subscribers, the directory, load balancing and account
// limits.

#include "pomelowind/callers/AccountLimiter.h"
#include "pomelowind/nodes/ConfigPublisher.h"
#include "pomelowind/nodes/Directory.h"
#include "pomelowind/nodes/FanOutTree.h"
#include "pomelowind/nodes/ParentChooser.h"
#include "pomelowind/targets/Balancer.h"
#include "tests/support/Presences.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Millis;
using tests::target;

namespace {

const base::Instant T0 = base::Instant() + std::chrono::hours(1);

wire::NodeInfo node(int i, const std::string& dataCentre = "dc")
{
    wire::NodeInfo out;
    out.node = "n" + std::to_string(i);
    out.dataCentre = dataCentre;
    out.meshAddress = "127.0.0.1:" + std::to_string(1000 + i);
    out.incarnation = 1;
    out.sequence = 1;
    return out;
}

}

TEST(NodesChooseParentsAndTargets, FanOutTreeHasOneRootNoLoopAndBoundedFanOut)
{
    std::vector<wire::NodeInfo> members;
    for (int i = 0; i < 145; ++i)
        members.push_back(node(i));
    int roots = 0;
    std::map<std::string, size_t> children;
    size_t deepest = 0;
    for (const auto& it : members) {
        auto parents = nodes::relayAncestors(it.node, "dc", members);
        roots += parents.empty() ? 1 : 0;
        deepest = std::max(deepest, parents.size());
        if (!parents.empty())
            ++children[parents.front().node];
    }
    for (const auto& [parent, n] : children)
        EXPECT_LE(n, nodes::FAN_OUT) << parent;
    EXPECT_EQ(roots, 1);
    EXPECT_LE(deepest, 3u);
}

TEST(NodesChooseParentsAndTargets, DifferentViewsOfTheMembershipFormNoLoop)
{
    std::vector<wire::NodeInfo> members;
    for (int i = 0; i < 40; ++i)
        members.push_back(node(i));
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        base::Random random(seed);
        std::map<std::string, std::string> parentOf;
        for (const auto& it : members) {
            auto view = members;
            std::erase_if(
                view, [&](const wire::NodeInfo& other) { return other.node != it.node && random.bernoulli(0.3); });
            auto parents = nodes::relayAncestors(it.node, "dc", view);
            if (!parents.empty())
                parentOf[it.node] = parents.front().node;
        }
        for (const auto& it : members) {
            std::string current = it.node;
            int steps = 0;
            while (parentOf.count(current) && ++steps < 100)
                current = parentOf[current];
            ASSERT_LT(steps, 100) << "loop, seed " << seed;
        }
    }
}

TEST(NodesChooseParentsAndTargets, FailedParentIsSkippedDuringItsBackoff)
{
    nodes::Parent control { "c1", { "127.0.0.1", 1 }, true };
    std::vector<wire::NodeInfo> members { node(1), node(2), node(3) };
    std::string nonRoot;
    for (const auto& it : members) {
        if (!nodes::relayAncestors(it.node, "dc", members).empty())
            nonRoot = it.node;
    }
    nodes::ParentChooser chooser(nonRoot, "dc", { control }, 1);
    auto first = chooser.choose(members, T0);
    ASSERT_TRUE(first && !first->isControl);
    chooser.failed(first->id, T0);
    EXPECT_EQ(chooser.choose(members, T0), control);
    EXPECT_EQ(chooser.choose(members, T0 + Millis(2000)), first);
}

TEST(NodesChooseParentsAndTargets, SubscribersAreAdmittedAtABoundedRate)
{
    nodes::ConfigPublisherOptions options;
    options.maxChildren = 1000;
    nodes::ConfigPublisher publisher(options, T0);
    int admitted = 0;
    for (int i = 0; i < 500; ++i) {
        auto admission = publisher.subscribe(node(i), 0, T0);
        admitted += admission.admitted ? 1 : 0;
        if (!admission.admitted) {
            ASSERT_GT(admission.retryAfter.count(), 0);
        }
    }
    EXPECT_EQ(admitted, static_cast<int>(options.admissionBurst));
    for (int i = 0; i < 500; ++i)
        admitted += publisher.subscribe(node(i), 0, T0 + Millis(1000)).admitted ? 1 : 0;
    EXPECT_LE(admitted, options.admissionBurst + options.admissionsPerSecond + 1);
}

TEST(NodesChooseParentsAndTargets, SubscribersWithTheSameBaseShareOnePackedDelta)
{
    nodes::ConfigPublisher publisher({}, T0);
    publisher.publish(std::make_shared<const config::ConfigState>(config::ConfigState().withoutResource("x")));
    const std::string* first = nullptr;
    // Subscribers arrive one after the other, as after a restart of all nodes.
    for (int i = 0; i < 50; ++i) {
        ASSERT_TRUE(publisher.subscribe(node(i), 0, T0).admitted) << "a burst of this size is admitted at once";
        auto messages = publisher.takePendingDeltas();
        ASSERT_EQ(messages.size(), 1u);
        first = first ? first : messages[0].delta.get();
        EXPECT_EQ(messages[0].delta.get(), first);
    }
}

TEST(NodesChooseParentsAndTargets, PresenceIsOrderedByIncarnationAndSequence)
{
    nodes::Directory directory;
    auto info = node(1);
    info.node = "node-a";
    auto it = target("a", "dc");
    it.sequence = 5;
    directory.merge({ info }, { it }, T0);
    auto stale = it;
    stale.sequence = 4;
    stale.state = wire::TargetState::GONE;
    EXPECT_TRUE(directory.merge({}, { stale }, T0).empty());
    EXPECT_EQ(directory.liveTargets().size(), 1u);
    info.gone = true;
    directory.merge({ info }, {}, T0);
    EXPECT_TRUE(directory.liveTargets().empty()) << "targets of a node that is gone are not reachable";
    info.gone = false;
    info.incarnation = 2;
    directory.merge({ info }, {}, T0);
    EXPECT_TRUE(directory.liveTargets().empty()) << "a restarted node has to announce its targets again";
}

TEST(NodesChooseParentsAndTargets, DigestComparisonFindsDifferingEntries)
{
    nodes::Directory a;
    nodes::Directory b;
    for (int i = 0; i < 50; ++i) {
        a.merge({ node(i) }, {}, T0);
        if (i != 7)
            b.merge({ node(i) }, {}, T0);
    }
    std::vector<int64_t> buckets;
    for (auto it : b.digest())
        buckets.push_back(static_cast<int64_t>(it));
    auto differing = a.entriesDifferingFrom(buckets);
    EXPECT_LT(differing.nodes.size(), 12u);
    b.merge(differing.nodes, {}, T0);
    EXPECT_EQ(a.digest(), b.digest());
}

TEST(NodesChooseParentsAndTargets, FaultyTargetIsEjectedUnlessAllAreFaulty)
{
    targets::Balancer balancer("dc", 1);
    nodes::TargetList targets { target("a", "dc"), target("b", "dc"), target("c", "dc") };
    auto fail = [&](const std::string& name) {
        for (int i = 0; i < 3; ++i) {
            balancer.onAttemptStarted(name);
            targets::AttemptResult result;
            result.target = name;
            result.fault = true;
            balancer.onAttemptEnded(result, T0);
        }
    };
    fail("a");
    for (int i = 0; i < 200; ++i)
        ASSERT_NE(balancer.choose(targets, "s", { "v1", {} }, {}, T0)->target.target, "a");
    fail("b");
    fail("c");
    EXPECT_TRUE(balancer.choose(targets, "s", { "v1", {} }, {}, T0))
        << "when all targets are faulty, one must still be chosen";
    EXPECT_FALSE(balancer.isEjected("a", T0 + Millis(600)));
}

TEST(NodesChooseParentsAndTargets, OwnDataCentreIsPreferredUntilItIsFull)
{
    targets::Balancer balancer("dc", 1);
    nodes::TargetList targets { target("near", "dc"), target("far", "other") };
    for (int i = 0; i < 4; ++i) {
        EXPECT_EQ(balancer.choose(targets, "s", { "v1", {} }, {}, T0)->target.target, "near");
        balancer.onAttemptStarted("near");
    }
    EXPECT_EQ(balancer.choose(targets, "s", { "v1", {} }, {}, T0)->target.target, "far");
}

TEST(NodesChooseParentsAndTargets, LimitsOfTwoAccountsAreIndependent)
{
    callers::AccountLimiter limiter;
    wire::AccountResource a;
    a.name = "a";
    a.ratePerSecond = 10;
    a.burst = 5;
    auto b = a;
    b.name = "b";
    for (int i = 0; i < 5; ++i)
        EXPECT_TRUE(limiter.checkCall(a, T0).allowed);
    auto refused = limiter.checkCall(a, T0);
    EXPECT_FALSE(refused.allowed);
    EXPECT_GT(refused.retryAfter.count(), 0);
    EXPECT_TRUE(limiter.checkCall(b, T0).allowed);
    EXPECT_FALSE(limiter.checkCall(a, T0 + Millis(99)).allowed);
    EXPECT_TRUE(limiter.checkCall(a, T0 + Millis(101)).allowed);
    a.burst = 50;
    EXPECT_FALSE(limiter.checkCall(a, T0 + Millis(102)).allowed) << "a changed limit must not grant a second burst";
}
