// Guards against calls that reach a target of an evacuated data centre: as first attempts, as fallbacks when nothing
// else is left, from nodes that do not know of the evacuation yet, and from the queue of its gate.

#include "tests/support/CallPathFixture.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using tests::CallPathFixture;

namespace {

CallPathFixture::Options twoDataCentres()
{
    CallPathFixture::Options out;
    out.nodes = 2;
    out.targetsAt = { 0, 1 };
    out.dataCentres = { "east", "west" };
    out.slots = 1;
    return out;
}

size_t requestsAt(CallPathFixture& mesh, int i)
{
    size_t n = 0;
    for (const auto& it : mesh.targetConnections(i))
        for (auto at = it->received.find("HTTP/1.1\r\n"); at != std::string::npos;
             at = it->received.find("HTTP/1.1\r\n", at + 1))
            ++n;
    return n;
}

void answer(CallPathFixture& mesh, int i, const std::string& id)
{
    for (const auto& it : mesh.targetConnections(i)) {
        if (it->has(id) && !it->closed)
            it->write(CallPathFixture::answer(id, "done"));
    }
}

}

TEST(EvacuatedTargetsGetNoCalls, CallersThereAreServedByTheOtherDataCentre)
{
    CallPathFixture mesh(twoDataCentres());
    mesh.setEvacuated({ "east" }, { 0, 1 });
    auto caller = mesh.connect(0);
    caller->write(CallPathFixture::get("r1"));
    ASSERT_TRUE(mesh.runUntil([&] { return requestsAt(mesh, 1) == 1; }));
    answer(mesh, 1, "r1");
    ASSERT_TRUE(mesh.runUntil([&] { return caller->has("200"); }));
    EXPECT_EQ(requestsAt(mesh, 0), 0u);
}

TEST(EvacuatedTargetsGetNoCalls, CallsAreRefusedAtOnceWhenNoDataCentreIsLeft)
{
    CallPathFixture mesh(twoDataCentres());
    mesh.setEvacuated({ "east", "west" }, { 0, 1 });
    auto caller = mesh.connect(0);
    caller->write(CallPathFixture::get("r1"));
    ASSERT_TRUE(mesh.runUntil([&] { return caller->has("\r\n\r\n"); }));
    EXPECT_TRUE(caller->has(" 503 ")) << caller->received;
    EXPECT_TRUE(caller->has("Retry-After: ")) << caller->received;
    EXPECT_EQ(requestsAt(mesh, 0) + requestsAt(mesh, 1), 0u);
}

// The gate beside the target does not know of the evacuation in this test, so only placement keeps the call away.
TEST(EvacuatedTargetsGetNoCalls, CallersNodeChoosesThemInNoFallback)
{
    auto options = twoDataCentres();
    options.targetsAt = { 1 };
    CallPathFixture mesh(options);
    mesh.setEvacuated({ "west" }, { 0 });
    auto caller = mesh.connect(0);
    caller->write(CallPathFixture::get("r1"));
    ASSERT_TRUE(mesh.runUntil([&] { return caller->has("\r\n\r\n"); }));
    EXPECT_TRUE(caller->has(" 503 ")) << caller->received;
    EXPECT_EQ(requestsAt(mesh, 1), 0u);
}

TEST(EvacuatedTargetsGetNoCalls, RetryAfterAFaultChoosesNoneOfThem)
{
    CallPathFixture mesh(twoDataCentres());
    mesh.setEvacuated({ "west" }, { 0 });
    auto caller = mesh.connect(0);
    caller->write(CallPathFixture::get("r1"));
    ASSERT_TRUE(mesh.runUntil([&] { return requestsAt(mesh, 0) == 1; }));
    mesh.targetConnections(0).front()->write(CallPathFixture::answer("r1", "fault", 500));
    ASSERT_TRUE(mesh.runUntil([&] { return requestsAt(mesh, 0) == 2 || caller->has("HTTP/1.1"); }));
    EXPECT_EQ(requestsAt(mesh, 1), 0u);
}

TEST(EvacuatedTargetsGetNoCalls, GateRefusesCallsOfNodesThatDoNotKnowIt)
{
    auto options = twoDataCentres();
    options.nodes = 3;
    options.targetsAt = { 1, 2 };
    options.dataCentres = { "east", "west", "north" };
    CallPathFixture mesh(options);
    mesh.setEvacuated({ "west" }, { 1 });
    for (int i = 0; i < 16; ++i) {
        auto id = "r" + std::to_string(i);
        auto caller = mesh.connect(0);
        caller->write(CallPathFixture::get(id));
        ASSERT_TRUE(mesh.runUntil([&] { return requestsAt(mesh, 2) == static_cast<size_t>(i + 1); }))
            << "refused calls run at the other target";
        answer(mesh, 2, id);
        ASSERT_TRUE(mesh.runUntil([&] { return caller->has("200"); }));
    }
    EXPECT_EQ(requestsAt(mesh, 1), 0u);
    EXPECT_GT(mesh.path(1).localTargets().refusedAtClosedGates(), 0u);
}

TEST(EvacuatedTargetsGetNoCalls, QueuedCallsGoElsewhereAndRunningOnesEnd)
{
    auto options = twoDataCentres();
    options.targetsAt = { 1 };
    CallPathFixture mesh(options);
    auto first = mesh.connect(1);
    first->write(CallPathFixture::get("running"));
    ASSERT_TRUE(mesh.runUntil([&] { return requestsAt(mesh, 1) == 1; }));
    auto second = mesh.connect(0);
    second->write(CallPathFixture::get("queued"));
    ASSERT_TRUE(mesh.runUntil([&] { return mesh.path(1).localCallCount() == 2; }));
    // Only the node beside the target knows it: the caller's node sends the refused call again until it gives up.
    mesh.setEvacuated({ "west" }, { 1 });
    EXPECT_EQ(mesh.path(1).localCallCount(), 1u) << "refused at once, not at its deadline";
    ASSERT_TRUE(mesh.runUntil([&] { return second->has("\r\n\r\n"); }));
    EXPECT_TRUE(second->has(" 503 ")) << second->received;
    EXPECT_EQ(mesh.path(1).localTargets().runningCount(), 1u);
    answer(mesh, 1, "running");
    ASSERT_TRUE(mesh.runUntil([&] { return first->has("done"); }));
    EXPECT_EQ(requestsAt(mesh, 1), 1u);
}

TEST(EvacuatedTargetsGetNoCalls, TargetsServeAgainAfterItsEnd)
{
    CallPathFixture mesh(twoDataCentres());
    mesh.setEvacuated({ "east" }, { 0, 1 });
    EXPECT_FALSE(mesh.path(0).localTargets().evacuationEndedAt());
    mesh.setEvacuated({}, { 0, 1 });
    EXPECT_TRUE(mesh.path(0).localTargets().evacuationEndedAt());
    EXPECT_FALSE(mesh.path(1).localTargets().evacuationEndedAt());
    auto caller = mesh.connect(0);
    caller->write(CallPathFixture::get("r1"));
    ASSERT_TRUE(mesh.runUntil([&] { return requestsAt(mesh, 0) == 1; }));
}
