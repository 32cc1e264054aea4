// A node obtains and passes on the proof that its version is the newest. Guards against a lease that starts when an
// answer arrives, one for a version that the node does not run, and messages where no leases are asked for.

#include "tests/support/RecordedOutputs.h"
#include "tests/support/SingleControlHost.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Instant;
using base::Millis;
using links::FrameKind;

namespace {

class ProofsComeFromTheParent : public testing::Test {
protected:
    explicit ProofsComeFromTheParent(Millis revoke = Millis(5000))
    {
        settings.id = "n0";
        settings.dataCentre = "east";
        settings.control = { { "c1", "east", { "10.0.0.1", 7000 } } };
        settings.lease.revoke = revoke;
        core = std::make_unique<node::DistributionCore>(settings, out, now, 1700000000000, 1);
        core->tick(now);
        core->parentReady("c1", now);
        wire::SubscribeAnswer answer;
        answer.admitted = answer.fresh = true;
        core->parentFrame(FrameKind::SUBSCRIBE_ANSWER, base::encode(answer), now);
        core->tick(now);
    }

    std::vector<wire::FreshnessRequest> requests()
    {
        std::vector<wire::FreshnessRequest> found;
        for (const auto& it : out.sentToParent) {
            if (it.kind == FrameKind::FRESHNESS_REQUEST)
                found.push_back(base::decode<wire::FreshnessRequest>(it.payload));
        }
        out.sentToParent.clear();
        return found;
    }

    void answer(const wire::FreshnessRequest& request, int64_t ageMs, int64_t version)
    {
        wire::FreshnessAnswer message;
        message.sentAt = request.sentAt;
        message.ageMs = ageMs;
        message.version = version;
        core->parentFrame(FrameKind::FRESHNESS_ANSWER, base::encode(message), now);
        core->tick(now);
    }

    void apply(int64_t version)
    {
        wire::Command command;
        command.kind = wire::CommandKind::SET_SERVICE;
        command.name = "desk";
        command.body = "v" + std::to_string(version);
        command.baseVersion = -1;
        command.requestId = command.body;
        ASSERT_EQ(control.submit(command).code, wire::ResultCode::ACCEPTED);
        wire::Subscribe request;
        request.node.node = "n0";
        request.node.incarnation = 1;
        request.node.sequence = version;
        control.sentToNodes.clear();
        control.core->handleNodeFrame("n0", FrameKind::SUBSCRIBE, base::encode(request), control.now, 1);
        for (const auto& it : control.sentToNodes) {
            if (it.kind == FrameKind::DELTA)
                core->parentFrame(it.kind, it.payload, now);
        }
    }

    Instant until() const { return out.view->keysHonouredUntil.value(); }

    tests::SingleControlHost control;
    tests::RecordedOutputs out;
    node::NodeSettings settings;
    Instant now = Instant() + std::chrono::hours(1);
    std::unique_ptr<node::DistributionCore> core;
};

class NodesWithoutLeases : public ProofsComeFromTheParent {
protected:
    NodesWithoutLeases()
        : ProofsComeFromTheParent(Millis(0))
    {
    }
};

}

TEST_F(ProofsComeFromTheParent, TheLeaseStartsWithTheRequestLessTheAge)
{
    auto sentAt = now;
    auto asked = requests();
    ASSERT_EQ(asked.size(), 1u);
    EXPECT_EQ(until(), Instant()) << "no proof yet";
    now += Millis(3000); // as after a freeze
    answer(asked[0], 200, 0);
    EXPECT_EQ(until(), sentAt - Millis(200) + Millis(4900));
    answer(asked[0], -1, 0);
    wire::FreshnessRequest unsent;
    unsent.sentAt = base::toMillis(now.time_since_epoch());
    answer(unsent, 0, 0);
    EXPECT_EQ(until(), sentAt - Millis(200) + Millis(4900)) << "neither answer proves anything";
}

TEST_F(ProofsComeFromTheParent, AVersionThatIsNotAppliedYetHasNoLease)
{
    auto sentAt = now;
    auto asked = requests();
    apply(1);
    auto version = core->state().version();
    ASSERT_GT(version, 0);
    answer(asked[0], 0, version + 1);
    EXPECT_EQ(until(), Instant());
    apply(2);
    ASSERT_EQ(core->state().version(), version + 1);
    EXPECT_EQ(until(), sentAt + Millis(4900));
}

TEST_F(ProofsComeFromTheParent, ChildrenGetTheAgeOfTheProof)
{
    auto asked = requests();
    answer(asked[0], 100, 0);
    now += Millis(400);
    wire::FreshnessRequest request;
    request.sentAt = 12345;
    core->childFrame("n1", FrameKind::FRESHNESS_REQUEST, base::encode(request), now);
    ASSERT_EQ(out.sentToChildren.back().kind, FrameKind::FRESHNESS_ANSWER);
    auto got = base::decode<wire::FreshnessAnswer>(out.sentToChildren.back().payload);
    EXPECT_EQ(got.sentAt, 12345);
    EXPECT_EQ(got.ageMs, 500);
}

TEST_F(ProofsComeFromTheParent, RequestsAreFewWhileTheLeaseLasts)
{
    answer(requests().at(0), 0, 0);
    settings.relays = false;
    size_t count = 0;
    // Without beacons the parent is given up after 1.5 s.
    for (int i = 0; i < 28; ++i) {
        now += Millis(50);
        core->tick(now);
        for (const auto& it : requests()) {
            ++count;
            answer(it, 0, 0);
        }
    }
    EXPECT_EQ(count, 3u) << "100 ms after the one without a proof, and then every 500 ms";
}

TEST_F(NodesWithoutLeases, SendNoRequests)
{
    now += Millis(1000);
    core->tick(now);
    EXPECT_TRUE(requests().empty());
    EXPECT_FALSE(out.view->keysHonouredUntil);
}
