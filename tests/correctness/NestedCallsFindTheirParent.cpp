// A call that names a running request as its parent is recognized as nested and finds the parent's objective.

#include "node/RunningCalls.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Instant;
using base::Millis;
using node::RunningCalls;

namespace {

const Instant T0 = Instant() + std::chrono::hours(1);

}

TEST(NestedCallsFindTheirParent, WhileTheParentRuns)
{
    RunningCalls running;
    running.begin("a", T0 + Millis(300));
    running.begin("b", std::nullopt);
    EXPECT_EQ(running.objectiveOf("a"), T0 + Millis(300));
    EXPECT_EQ(running.objectiveOf("b"), Instant::max()) << "it runs, without an objective";
    EXPECT_FALSE(running.objectiveOf("c"));
    running.end("a");
    EXPECT_FALSE(running.objectiveOf("a"));
}

TEST(NestedCallsFindTheirParent, RequestThatRunsOnTwoTargetsEndsTwice)
{
    RunningCalls running;
    running.begin("a", T0);
    running.begin("a", T0);
    running.end("a");
    EXPECT_TRUE(running.objectiveOf("a"));
    running.end("a");
    EXPECT_FALSE(running.objectiveOf("a"));
}

TEST(NestedCallsFindTheirParent, RequestWithoutAnIdIsNoParent)
{
    RunningCalls running;
    running.begin("", T0);
    EXPECT_FALSE(running.objectiveOf("")) << "calls from outside the mesh have no parent id either";
    running.end("");
}
