// Usage that reaches a follower counts at the leader, and a new leader goes on with the ratios of the previous one.
// Guards against counts that end at a follower, and against a burst after each change of leader.

#include "pomelowind/base/Packing.h"
#include "tests/support/ControlGroupSim.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Millis;

namespace {

wire::Command release()
{
    wire::Release release;
    release.header.number = 1;
    release.document = "release";
    wire::ClientAccount account;
    account.name = "shop";
    account.keyDigests = { std::string(32, 'k') };
    account.ratePerSecond = account.burst = 100;
    release.accounts = { account };
    wire::Command out;
    out.kind = wire::CommandKind::SUBMIT_RELEASE;
    out.requestId = "r1";
    out.__set_release(release);
    return out;
}

// Lets nodes of host `i` offer 500 calls a second, of which they admit `permille`, for `time`.
void offer(tests::ControlGroupSim& group, int i, int permille, Millis time)
{
    auto usage
        = base::encode(callers::packUsage({ { callers::quotaId("shop"), 50, 50 * (1000 - permille) / 1000, 1 } }));
    for (Millis passed(0); passed < time; passed += Millis(100)) {
        group.core(i).handleNodeFrame("n0", links::FrameKind::USAGE, usage, group.now(), 1);
        group.advance(Millis(100));
    }
}

int permilleAt(tests::ControlGroupSim& group, int i)
{
    const auto& ratios = group.core(i).quota().ratios();
    return ratios.empty() ? 1000 : ratios[0].permille;
}

}

TEST(NewLeadersKeepAccountsLimited, WithCountsThatFollowersPassOn)
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        SCOPED_TRACE(seed);
        tests::ControlGroupSim group(3, seed);
        for (int i = 0; i < 100 && group.leader() < 0; ++i)
            group.advance(Millis(100));
        ASSERT_GE(group.leader(), 0);
        auto result = std::make_shared<std::optional<wire::CommandResult>>();
        group.submit(group.leader(), release(), result);
        group.advance(Millis(1000));
        ASSERT_TRUE(*result && (**result).code == wire::ResultCode::ACCEPTED);
        int before = group.leader();
        int follower = (before + 1) % 3;
        offer(group, follower, 1000, Millis(1000));
        offer(group, follower, 200, Millis(3000));
        EXPECT_LT(permilleAt(group, before), 400);
        group.restart(before);
        // The host that has led may lead again, without what it knew.
        group.advance(Millis(50));
        for (int i = 0; i < 500 && group.leader() < 0; ++i)
            group.advance(Millis(10));
        int next = group.leader();
        ASSERT_GE(next, 0);
        group.advance(Millis(50));
        EXPECT_LT(permilleAt(group, next), 400) << "before it has counts";
        offer(group, (next + 1) % 3, 200, Millis(2000));
        EXPECT_LT(permilleAt(group, next), 400);
        EXPECT_EQ(group.failure(), "");
    }
}
