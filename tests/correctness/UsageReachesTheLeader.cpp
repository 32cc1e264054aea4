// The way of usage and ratios of client accounts: nodes -> parents -> control hosts -> leader, and back. Guards against
// counts that are lost or counted twice on the way, ratios that a lost message leaves in force, ratios of an earlier
// leader, and messages where no account has a limit.

#include "pomelowind/base/Packing.h"
#include "tests/support/RecordedOutputs.h"
#include "tests/support/SingleControlHost.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Instant;
using base::Millis;
using links::FrameKind;

namespace {

std::string usage(int32_t offered, int32_t refused = 0)
{
    return base::encode(callers::packUsage({ { callers::quotaId("shop"), offered, refused, 1 } }));
}

std::vector<wire::AccountRatio> ratio(int permille)
{
    wire::AccountRatio out;
    out.account = callers::quotaId("shop");
    out.permille = permille;
    return { out };
}

class LeaderWithAccount : public testing::Test {
protected:
    explicit LeaderWithAccount(double rate = 100)
    {
        wire::Command command;
        command.kind = wire::CommandKind::SUBMIT_RELEASE;
        wire::Release release;
        release.header.number = 1;
        release.document = "release";
        wire::ClientAccount account;
        account.name = "shop";
        account.keyDigests = { std::string(32, 'k') };
        account.ratePerSecond = account.burst = rate;
        release.accounts = { account };
        command.requestId = "r1";
        command.__set_release(release);
        EXPECT_EQ(host.submit(command).code, wire::ResultCode::ACCEPTED);
        host.advance(Millis(1000));
        wire::Subscribe request;
        request.node.node = "n0";
        request.node.incarnation = request.node.sequence = 1;
        host.core->handleNodeFrame("n0", FrameKind::SUBSCRIBE, base::encode(request), host.now, 1);
        host.sentToNodes.clear();
    }

    // Returns the spreads that the node has got since the last call.
    std::vector<wire::Spread> spreads()
    {
        std::vector<wire::Spread> out;
        for (const auto& it : host.sentToNodes) {
            if (it.kind == FrameKind::SPREAD)
                out.push_back(base::decode<wire::Spread>(it.payload));
        }
        host.sentToNodes.clear();
        return out;
    }

    // Offers 500 calls per second, all of which nodes admit.
    void offerTooMuch()
    {
        for (int i = 0; i < 10; ++i) {
            host.core->handleNodeFrame("n0", FrameKind::USAGE, usage(50), host.now, 1);
            host.advance(Millis(100));
        }
    }

    tests::SingleControlHost host;
};

class LeaderWithoutLimits : public LeaderWithAccount {
protected:
    LeaderWithoutLimits()
        : LeaderWithAccount(0)
    {
    }
};

class NodeWithChild : public testing::Test {
protected:
    NodeWithChild()
    {
        settings.id = "n0";
        settings.dataCentre = "east";
        settings.control = { { "c1", "east", { "10.0.0.1", 7000 } } };
        core = std::make_unique<node::DistributionCore>(settings, out, now, 1700000000000, 1);
        core->tick(now);
        core->parentReady("c1", now);
        wire::SubscribeAnswer answer;
        answer.admitted = answer.fresh = true;
        core->parentFrame(FrameKind::SUBSCRIBE_ANSWER, base::encode(answer), now);
        wire::Subscribe request;
        request.node.node = "n1";
        request.node.incarnation = request.node.sequence = 1;
        core->childFrame("n1", FrameKind::SUBSCRIBE, base::encode(request), now);
        out.sentToParent.clear();
        out.sentToChildren.clear();
    }

    void beacon(int64_t sequence, const std::vector<wire::AccountRatio>& ratios)
    {
        wire::Spread spread;
        wire::Beacon beacon;
        beacon.term = 1;
        beacon.sequence = sequence;
        spread.__set_beacon(beacon);
        if (!ratios.empty())
            spread.__set_accountRatios(ratios);
        core->parentFrame(FrameKind::SPREAD, base::encode(spread), now);
    }

    std::vector<wire::AccountUsage> sentUsage() const
    {
        std::vector<wire::AccountUsage> sent;
        for (const auto& it : out.sentToParent) {
            if (it.kind == FrameKind::USAGE)
                sent.push_back(base::decode<wire::AccountUsage>(it.payload));
        }
        return sent;
    }

    int permille() const { return out.view->accountRatios ? out.view->accountRatios->at(0).permille : 1000; }

    tests::RecordedOutputs out;
    node::NodeSettings settings;
    Instant now = Instant() + std::chrono::hours(1);
    std::unique_ptr<node::DistributionCore> core;
};

}

TEST_F(LeaderWithAccount, TheRatioIsPublishedAtOnceAndRepeatedWithBeacons)
{
    offerTooMuch();
    int changes = 0;
    int beacons = 0;
    for (const auto& it : spreads()) {
        if (!it.__isset.accountRatios)
            continue;
        ASSERT_EQ(it.accountRatios.size(), 1u);
        EXPECT_EQ(it.accountRatios[0].account, callers::quotaId("shop"));
        (it.__isset.beacon ? beacons : changes) += it.accountRatios[0].permille < 1000 ? 1 : 0;
    }
    EXPECT_GE(changes, 1);
    EXPECT_GE(beacons, 1);
    EXPECT_LE(host.core->quota().view("shop", host.now)->level, -200) << "500 calls, of which 200 were allowed";
}

TEST_F(LeaderWithAccount, SubscribersGetTheRatiosAtOnce)
{
    offerTooMuch();
    spreads();
    wire::Subscribe request;
    request.node.node = "n0";
    request.node.incarnation = 1;
    request.node.sequence = 2;
    host.core->handleNodeFrame("n0", FrameKind::SUBSCRIBE, base::encode(request), host.now, 1);
    auto sent = spreads();
    ASSERT_FALSE(sent.empty());
    EXPECT_EQ(sent[0].accountRatios.size(), 1u);
}

TEST_F(LeaderWithoutLimits, NothingIsPublished)
{
    offerTooMuch();
    for (const auto& it : spreads())
        EXPECT_FALSE(it.__isset.accountRatios);
}

TEST_F(NodeWithChild, UsageOfNodeAndChildIsSummedAndSentEvery100Milliseconds)
{
    core->childFrame("n1", FrameKind::USAGE, usage(7, 2), now);
    wire::Report own;
    own.__set_usage(callers::packUsage({ { callers::quotaId("shop"), 5, 1, 1 } }));
    core->addReport(own, now);
    core->addReport(own, now);
    now += Millis(50);
    core->tick(now);
    EXPECT_EQ(sentUsage().size(), 1u) << "the second one waits";
    now += Millis(50);
    core->tick(now);
    int64_t offered = 0;
    int64_t refused = 0;
    for (const auto& message : sentUsage()) {
        for (const auto& it : callers::unpackUsage(message)) {
            offered += it.offered;
            refused += it.refused;
        }
    }
    EXPECT_EQ(offered, 17);
    EXPECT_EQ(refused, 4);
}

TEST_F(NodeWithChild, RatiosReachCallsAndChildrenAndEndWithABeacon)
{
    beacon(1, ratio(300));
    EXPECT_EQ(permille(), 300);
    wire::Spread change;
    change.__set_accountRatios(ratio(200));
    core->parentFrame(FrameKind::SPREAD, base::encode(change), now);
    EXPECT_EQ(permille(), 200);
    beacon(1, ratio(300));
    EXPECT_EQ(permille(), 200) << "a late beacon";
    ASSERT_EQ(out.sentToChildren.size(), 2u);
    for (const auto& it : out.sentToChildren)
        EXPECT_EQ(base::decode<wire::Spread>(it.payload).accountRatios.size(), 1u);
    beacon(2, {});
    EXPECT_EQ(permille(), 1000);
}

TEST_F(NodeWithChild, MalformedUsageIsDropped)
{
    wire::AccountUsage message;
    message.accounts = { 1, 2, 3 };
    message.offered = { -5 };
    message.__set_refused({ 1 << 30, 7, 7, 7 });
    message.__set_spans({ -1 });
    auto usage = callers::unpackUsage(message);
    ASSERT_EQ(usage.size(), 1u);
    EXPECT_EQ(usage[0].offered, 0);
    EXPECT_GE(usage[0].span, 1);
    EXPECT_LE(usage[0].refused, 1000000);
}
