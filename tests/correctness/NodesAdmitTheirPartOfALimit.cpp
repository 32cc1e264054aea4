// A node admits the ratio of the leader, and an equal part of the limit without one. Guards against errors of few calls
// that add up over many nodes, credit that is lost, usage that is not reported, and costs where no account has a limit.

#include "pomelowind/callers/AccountQuota.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Instant;
using base::Millis;
using callers::AccountQuota;

namespace {

constexpr auto START = Instant() + std::chrono::hours(1);

wire::ClientAccount account(double rate, double burst)
{
    wire::ClientAccount out;
    out.name = "shop";
    out.ratePerSecond = rate;
    out.burst = burst;
    return out;
}

std::vector<wire::AccountRatio> ratio(int permille)
{
    wire::AccountRatio out;
    out.account = callers::quotaId("shop");
    out.permille = permille;
    return { out };
}

AccountQuota quotaWithContact(size_t place = 0, size_t nodes = 74)
{
    AccountQuota out { callers::QuotaBounds() };
    out.setContact(START, nodes, place);
    return out;
}

int countAdmitted(AccountQuota& quota, const wire::ClientAccount& account, int calls, Instant now)
{
    int out = 0;
    for (int i = 0; i < calls; ++i)
        out += quota.admit(account, now).admitted() ? 1 : 0;
    return out;
}

}

TEST(NodesAdmitTheirPartOfALimit, TheRatioHoldsOverNodesThatSeeOneCallEach)
{
    int admitted = 0;
    for (size_t place = 0; place < 1000; ++place) {
        auto quota = quotaWithContact(place, 1000);
        quota.replaceRatios(ratio(250));
        admitted += countAdmitted(quota, account(100, 100), 1, START);
    }
    EXPECT_NEAR(admitted, 250, 1);
}

TEST(NodesAdmitTheirPartOfALimit, TheRatioIsExactAtOneNode)
{
    auto quota = quotaWithContact();
    quota.replaceRatios(ratio(250));
    EXPECT_NEAR(countAdmitted(quota, account(1000, 1000), 400, START), 100, 1);
    auto refused = quota.admit(account(1000, 1000), START);
    while (refused.admitted())
        refused = quota.admit(account(1000, 1000), START);
    EXPECT_EQ(refused.refusal, callers::QuotaRefusal::Ratio);
    EXPECT_EQ(refused.retryAfter, Millis(1000));
    quota.replaceRatios({});
    EXPECT_EQ(countAdmitted(quota, account(1000, 1000), 10, START), 10) << "without a ratio";
}

TEST(NodesAdmitTheirPartOfALimit, OneNodeAdmitsNoMoreThanTheWholeLimit)
{
    auto quota = quotaWithContact();
    EXPECT_EQ(countAdmitted(quota, account(10, 20), 100, START), 20);
    auto decision = quota.admit(account(10, 20), START);
    EXPECT_EQ(decision.refusal, callers::QuotaRefusal::NodeLimit);
    EXPECT_GT(decision.retryAfter, Millis(0));
    EXPECT_EQ(countAdmitted(quota, account(10, 20), 100, START + Millis(1000)), 10);
    EXPECT_EQ(countAdmitted(quota, account(20, 40), 100, START + Millis(1000)), 0) << "a change grants no burst";
}

TEST(NodesAdmitTheirPartOfALimit, ACallThatHasNotRunGivesItsCreditBack)
{
    auto quota = quotaWithContact();
    EXPECT_EQ(countAdmitted(quota, account(10, 20), 20, START), 20);
    quota.creditBack("shop", START);
    EXPECT_EQ(countAdmitted(quota, account(10, 20), 2, START), 1);
    auto usage = quota.takeUsage(START + Millis(100));
    ASSERT_EQ(usage.size(), 1u);
    EXPECT_EQ(usage[0].offered, 22);
    EXPECT_EQ(usage[0].refused, 2) << "the call that was credited, and the one beyond the limit";
    quota.creditBack("another", START);
}

TEST(NodesAdmitTheirPartOfALimit, NodesWithoutContactHoldTheirPartsTogether)
{
    // Many nodes with a small limit: none may admit a call of its own at any time.
    callers::QuotaBounds bounds;
    for (double rate : { 5.0, 31.0, 400.0 }) {
        SCOPED_TRACE(rate);
        auto limit = account(rate, rate);
        std::vector<AccountQuota> nodes;
        for (size_t place = 0; place < 74; ++place) {
            nodes.push_back(quotaWithContact(place));
            nodes.back().admit(limit, START);
        }
        std::vector<int> admitted; // by 100 ms
        for (int ms = 1500; ms < 40000; ms += 100) {
            admitted.push_back(0);
            bool asks = ms < 9000 || ms > 25000;
            for (auto& it : nodes)
                admitted.back() += asks ? countAdmitted(it, limit, 20, START + Millis(ms)) : 0;
            int inWindow = 0;
            for (size_t i = admitted.size() > 50 ? admitted.size() - 50 : 0; i < admitted.size(); ++i)
                inWindow += admitted[i];
            ASSERT_LE(inWindow, bounds.maxCalls(rate, rate)) << ms;
        }
    }
}

TEST(NodesAdmitTheirPartOfALimit, AStartedNodeWithoutContactHasNoBurst)
{
    AccountQuota quota { callers::QuotaBounds() };
    quota.setContact({}, 74, 0);
    EXPECT_EQ(countAdmitted(quota, account(400, 400), 100, START), 0);
    EXPECT_NEAR(countAdmitted(quota, account(400, 400), 100, START + Millis(1000)), 5, 1);
}

TEST(NodesAdmitTheirPartOfALimit, UsageIsReportedOnceAndSoonWhereItMatters)
{
    auto quota = quotaWithContact(0, 2);
    auto large = account(400, 400);
    quota.admit(large, START);
    EXPECT_TRUE(quota.takeUsage(START + Millis(100)).empty()) << "far below its limit";
    EXPECT_EQ(quota.takeUsage(START + Millis(2000)).size(), 1u);
    EXPECT_TRUE(quota.takeUsage(START + Millis(4000)).empty());
    countAdmitted(quota, large, 4, START + Millis(5000));
    EXPECT_EQ(quota.takeUsage(START + Millis(5100)).size(), 1u) << "a burst";
    quota.replaceRatios(ratio(1000));
    quota.admit(large, START + Millis(6000));
    EXPECT_EQ(quota.takeUsage(START + Millis(6100)).size(), 1u) << "near its limit";
}

TEST(NodesAdmitTheirPartOfALimit, AccountsWithoutALimitCostNothing)
{
    AccountQuota quota { callers::QuotaBounds() };
    EXPECT_EQ(countAdmitted(quota, account(0, 0), 1000, START), 1000) << "without contact";
    EXPECT_TRUE(quota.takeUsage(START + Millis(5000)).empty());
}
