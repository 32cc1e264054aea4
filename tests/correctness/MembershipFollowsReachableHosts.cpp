// Checks which hosts the planner makes voters and learners when the settings do not list the control group.

#include "pomelowind/members/MembershipPlanner.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using members::HostStatus;
using members::planMembership;

namespace {

HostStatus host(const std::string& id, bool reachable = true)
{
    HostStatus out;
    out.id = id;
    out.reachable = reachable;
    out.caughtUp = true;
    return out;
}

wire::Membership group(std::vector<std::string> voters, std::vector<std::string> learners = {})
{
    wire::Membership out;
    out.voters = std::move(voters);
    out.learners = std::move(learners);
    return out;
}

constexpr size_t THREE = members::votersToTolerate(1);
constexpr size_t FIVE = members::votersToTolerate(2);

}

TEST(MembershipFollowsReachableHosts, ANewHostJoinsAsLearner)
{
    auto next = planMembership(group({ "a", "b", "c" }), { host("a"), host("b"), host("c"), host("d") }, "a", THREE);
    ASSERT_TRUE(next);
    EXPECT_EQ(*next, group({ "a", "b", "c" }, { "d" }));
    EXPECT_FALSE(planMembership(*next, { host("a"), host("b"), host("c"), host("d") }, "a", THREE));
}

TEST(MembershipFollowsReachableHosts, LearnersBecomeVotersOnlyWhenCaughtUp)
{
    auto current = group({ "a", "b", "c" }, { "d", "e" });
    auto lagging = host("d");
    lagging.caughtUp = false;
    auto recoveringHost = host("e");
    recoveringHost.recovering = true;
    EXPECT_FALSE(planMembership(current, { host("a"), host("b"), host("c"), lagging, recoveringHost }, "a", FIVE));
    auto next = planMembership(current, { host("a"), host("b"), host("c"), host("d"), recoveringHost }, "a", FIVE);
    ASSERT_TRUE(next);
    EXPECT_EQ(*next, group({ "a", "b", "c", "d" }, { "e" }));
}

TEST(MembershipFollowsReachableHosts, AnUnreachableVoterIsReplacedOneChangeAtATime)
{
    std::vector<HostStatus> hosts { host("a"), host("b"), host("c", false), host("d") };
    auto first = planMembership(group({ "a", "b", "c" }, { "d" }), hosts, "a", THREE);
    ASSERT_TRUE(first);
    EXPECT_EQ(*first, group({ "a", "b", "c", "d" }));
    auto second = planMembership(*first, hosts, "a", THREE);
    ASSERT_TRUE(second);
    EXPECT_EQ(*second, group({ "a", "b", "d" }, { "c" }));
    EXPECT_FALSE(planMembership(*second, hosts, "a", THREE));
}

TEST(MembershipFollowsReachableHosts, AnUnreachableVoterStaysWithoutAReplacement)
{
    EXPECT_FALSE(planMembership(group({ "a", "b", "c" }), { host("a"), host("b"), host("c", false) }, "a", THREE));
}

TEST(MembershipFollowsReachableHosts, TheLeaderNeverRemovesItself)
{
    auto next = planMembership(
        group({ "a", "b", "c", "d" }), { host("a", false), host("b"), host("c"), host("d") }, "a", THREE);
    EXPECT_FALSE(next);
}
