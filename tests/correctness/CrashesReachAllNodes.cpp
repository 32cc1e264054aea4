// What a node knows of crashes of targets goes up to its parent and down to its children, and to nodes that subscribe
// later, so that it outlives a restart.

#include "node/DistributionCore.h"
#include "tests/support/RecordedOutputs.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Millis;
using links::FrameKind;

namespace {

const base::Instant T0 = base::Instant() + std::chrono::hours(1);

wire::TargetCrash crash(const std::string& target)
{
    wire::TargetCrash out;
    out.target = target;
    out.incarnation = 1;
    out.calls = { 7 };
    return out;
}

class CrashesReachAllNodes : public testing::Test {
protected:
    CrashesReachAllNodes()
    {
        settings.id = "n1";
        settings.dataCentre = "dc";
        settings.control = { { "c1", "dc", { "127.0.0.1", 7000 } } };
        core = std::make_unique<node::DistributionCore>(settings, outputs, T0, 1000, 1);
        core->tick(T0);
    }

    void admit()
    {
        core->parentReady("c1", T0);
        wire::SubscribeAnswer answer;
        answer.admitted = true;
        core->parentFrame(FrameKind::SUBSCRIBE_ANSWER, base::encode(answer), T0);
    }

    void subscribeChild(const std::string& child)
    {
        wire::Subscribe request;
        request.node.node = child;
        request.node.dataCentre = "dc";
        request.node.incarnation = 1;
        core->childFrame(child, FrameKind::SUBSCRIBE, base::encode(request), T0);
    }

    void receiveFromParent(const wire::TargetCrash& it)
    {
        wire::Spread spread;
        spread.crashes = { it };
        core->parentFrame(FrameKind::SPREAD, base::encode(spread), T0);
    }

    void findHere(const wire::TargetCrash& it)
    {
        wire::Report report;
        report.crashes = { it };
        core->addReport(report, T0);
    }

    // Crashes in all messages of one kind that were sent to the parent or to the children.
    template <class Message> size_t crashesIn(const std::vector<tests::SentFrame>& frames, links::Kind kind)
    {
        size_t n = 0;
        for (const auto& it : frames)
            n += it.kind == kind ? base::decode<Message>(it.payload).crashes.size() : 0;
        return n;
    }

    size_t sentUp() { return crashesIn<wire::Report>(outputs.sentToParent, FrameKind::REPORT); }
    size_t sentDown() { return crashesIn<wire::Spread>(outputs.sentToChildren, FrameKind::SPREAD); }

    node::NodeSettings settings;
    tests::RecordedOutputs outputs;
    std::unique_ptr<node::DistributionCore> core;
};

}

TEST_F(CrashesReachAllNodes, CrashFoundHereGoesUpDownAndToTheCalls)
{
    admit();
    subscribeChild("n2");
    findHere(crash("a"));
    core->tick(T0 + Millis(50));
    EXPECT_EQ(sentUp(), 1U);
    EXPECT_EQ(sentDown(), 1U);
    ASSERT_TRUE(outputs.view && outputs.view->crashes);
    EXPECT_EQ(outputs.view->crashes->size(), 1U);
}

TEST_F(CrashesReachAllNodes, KnownCrashIsNotSentAgain)
{
    admit();
    subscribeChild("n2");
    receiveFromParent(crash("a"));
    receiveFromParent(crash("a"));
    core->tick(T0 + Millis(50));
    EXPECT_EQ(sentUp(), 0U) << "the parent knows it";
    EXPECT_EQ(sentDown(), 1U);
}

TEST_F(CrashesReachAllNodes, LaterSubscriberGetsAllThatIsKnown)
{
    admit();
    receiveFromParent(crash("a"));
    receiveFromParent(crash("b"));
    subscribeChild("n2");
    EXPECT_EQ(sentDown(), 2U);
}

TEST_F(CrashesReachAllNodes, CrashFoundWithoutAParentIsReportedToTheNextOne)
{
    findHere(crash("a"));
    core->tick(T0 + Millis(50));
    EXPECT_EQ(sentUp(), 0U);
    admit();
    EXPECT_EQ(sentUp(), 1U);
}
