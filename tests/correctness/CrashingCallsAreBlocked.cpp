// A call that ran at three crashes, without a response in between, is blocked for a time that grows with each trial
// that crashes a target again.

#include "pomelowind/nodes/Directory.h"
#include "pomelowind/targets/CrashSuspects.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Millis;
using targets::CrashSuspects;

namespace {

const base::Instant T0 = base::Instant() + std::chrono::hours(1);
constexpr uint64_t CRASHING = 7;
constexpr Millis FIRST_BLOCK(30000);
constexpr Millis SECOND_BLOCK(600000);
// Within this time after the end of a block, each node has had its trial.
constexpr Millis TRIAL_SPREAD(30000);

wire::TargetCrash crash(const std::string& target, int64_t incarnation, std::vector<int64_t> calls)
{
    wire::TargetCrash out;
    out.target = target;
    out.incarnation = incarnation;
    out.calls = std::move(calls);
    return out;
}

wire::TargetCrash cleared(const std::string& target, int64_t incarnation, int64_t call)
{
    auto out = crash(target, incarnation, { call });
    out.cleared = { call };
    return out;
}

class CrashingCallsAreBlocked : public testing::Test {
protected:
    std::vector<uint64_t> learn(const nodes::CrashList& crashes, base::Instant now)
    {
        directory.mergeCrashes(crashes, now);
        return suspects.update(directory.crashes(), now);
    }

    void learnThreeCrashes()
    {
        learn({ crash("a", 1, { 7, 8 }), crash("b", 1, { 7, 9 }), crash("c", 1, { 10, 7 }) }, T0);
    }

    nodes::Directory directory;
    CrashSuspects suspects { "node" };
};

}

TEST_F(CrashingCallsAreBlocked, AfterTheThirdCrashOnly)
{
    EXPECT_TRUE(suspects.empty());
    EXPECT_TRUE(learn({ crash("a", 1, { 7, 8 }), crash("b", 1, { 7 }) }, T0).empty());
    EXPECT_FALSE(suspects.check(CRASHING, T0).blocked);
    EXPECT_EQ(suspects.crashesOf(CRASHING), 2);
    EXPECT_EQ(learn({ crash("a", 2, { 7 }) }, T0), std::vector<uint64_t> { CRASHING });
    auto verdict = suspects.check(CRASHING, T0);
    EXPECT_TRUE(verdict.blocked);
    EXPECT_GE(verdict.retryAfter, FIRST_BLOCK);
    EXPECT_FALSE(suspects.check(8, T0).blocked) << "it ran at one crash";
    EXPECT_FALSE(suspects.check(11, T0).blocked) << "it ran at none";
}

TEST_F(CrashingCallsAreBlocked, CrashThatIsReportedTwiceCountsOnce)
{
    for (int i = 0; i < 5; ++i)
        EXPECT_TRUE(learn({ crash("a", 1, { 7 }) }, T0).empty());
    EXPECT_EQ(suspects.crashesOf(CRASHING), 1);
}

TEST_F(CrashingCallsAreBlocked, ResponseClearsInWhateverOrderItIsLearned)
{
    learn({ cleared("a", 1, 7) }, T0);
    learn({ crash("a", 1, { 7, 8 }), crash("b", 1, { 7 }), crash("c", 1, { 7 }) }, T0);
    EXPECT_EQ(suspects.crashesOf(CRASHING), 2);
    EXPECT_EQ(suspects.crashesOf(8), 1);
    learn({ cleared("b", 1, 7), cleared("c", 1, 7) }, T0);
    EXPECT_EQ(suspects.crashesOf(CRASHING), 0);
}

TEST_F(CrashingCallsAreBlocked, TrialIsGrantedToOneCallOnceTheBlockHasEnded)
{
    learnThreeCrashes();
    EXPECT_TRUE(suspects.check(CRASHING, T0 + FIRST_BLOCK - Millis(1)).blocked);
    auto end = T0 + FIRST_BLOCK + TRIAL_SPREAD;
    EXPECT_TRUE(suspects.check(CRASHING, end).isTrial);
    EXPECT_TRUE(suspects.check(CRASHING, end).blocked) << "the outcome of the trial is not known yet";
}

TEST_F(CrashingCallsAreBlocked, BlockGrowsWhenATrialCrashesItsTarget)
{
    learnThreeCrashes();
    auto at = T0 + FIRST_BLOCK + TRIAL_SPREAD;
    ASSERT_TRUE(suspects.check(CRASHING, at).isTrial);
    auto block = SECOND_BLOCK;
    for (int i = 0; i < 2; ++i) {
        at += Millis(100);
        learn({ crash("a", 10 + i, { 7 }) }, at);
        EXPECT_TRUE(suspects.check(CRASHING, at + block - Millis(1)).blocked);
        at += block + TRIAL_SPREAD;
        EXPECT_TRUE(suspects.check(CRASHING, at).isTrial);
        block *= 2;
    }
}

TEST_F(CrashingCallsAreBlocked, ResponseLiftsTheBlockEvenWhenACrashWasUnknownWhereItCame)
{
    learnThreeCrashes();
    learn({ cleared("a", 1, 7), cleared("b", 1, 7) }, T0 + Millis(100));
    EXPECT_FALSE(suspects.check(CRASHING, T0 + Millis(100)).blocked);
    learn({ crash("d", 1, { 7 }) }, T0 + Millis(200));
    EXPECT_FALSE(suspects.check(CRASHING, T0 + Millis(200)).blocked) << "two crashes since the response";
}

TEST_F(CrashingCallsAreBlocked, CrashesOfCallsThatWereOnTheirWayLeaveTheBlockAsItIs)
{
    learnThreeCrashes();
    learn({ crash("d", 1, { 7 }), crash("e", 1, { 7 }) }, T0 + Millis(500));
    EXPECT_FALSE(suspects.check(CRASHING, T0 + FIRST_BLOCK + TRIAL_SPREAD + Millis(500)).blocked);
}

TEST_F(CrashingCallsAreBlocked, MemoryIsBounded)
{
    for (int i = 0; i < 1000; ++i)
        learn({ crash("t", i, { 100 + i }) }, T0 + Millis(i));
    EXPECT_LE(directory.crashes().size(), 256U);
    EXPECT_EQ(suspects.crashesOf(1099), 1) << "the newest ones are kept";
    directory.expire(T0 + std::chrono::hours(2), FIRST_BLOCK);
    EXPECT_TRUE(directory.crashes().empty());
}
