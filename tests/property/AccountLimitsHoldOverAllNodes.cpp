// Guards the bound on the calls of a client account over all nodes, and the calls within the limit, in virtual time:
// against counts that arrive late, clients that send bursts, callers that move, and the loss of the leader, of nodes
// and of a data centre. `tools/bench accounts` runs more seeds, and 576 nodes.

#include "benchmarks/QuotaModel.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using bench::QuotaEvent;

namespace {

// Part of the calls within the limit that may be refused.
constexpr double MAX_REFUSED = 0.002;
constexpr double MAX_REFUSED_DURING_FAULTS = 0.02;
constexpr uint64_t SEEDS = 3;
// With these, the bound is exceeded if the leader leaves out the calls that it has not heard of yet (near_limit, 1.07
// of it), or the highest demand of the last window (bursts, 1.006 of it).
constexpr double LIMITS[] = { 5, 400, 50 };

bool isFault(QuotaEvent event)
{
    return event == QuotaEvent::LeaderKilled || event == QuotaEvent::Partition || event == QuotaEvent::Restart
        || event == QuotaEvent::LoweredLimit;
}

}

class AccountLimitsHoldOverAllNodes : public testing::TestWithParam<QuotaEvent> { };

TEST_P(AccountLimitsHoldOverAllNodes, AndServeWhatIsWithinThem)
{
    for (uint64_t seed = 1; seed <= SEEDS; ++seed) {
        bench::QuotaRun run;
        run.event = GetParam();
        run.seed = seed;
        run.hotLimit = LIMITS[seed - 1];
        SCOPED_TRACE(seed);
        auto result = bench::runQuotaModel(run);
        EXPECT_LE(result.mostOfBound, 1) << result.worstAccount;
        double refused = static_cast<double>(result.refusedWithin) / static_cast<double>(result.offeredWithin);
        EXPECT_LE(refused, isFault(run.event) ? MAX_REFUSED_DURING_FAULTS : MAX_REFUSED);
        EXPECT_GT(result.offeredWithin, 10000);
    }
}

INSTANTIATE_TEST_SUITE_P(Events, AccountLimitsHoldOverAllNodes, testing::ValuesIn(bench::QUOTA_EVENTS),
    [](const auto& it) { return bench::quotaEventName(it.param); });

// The model shows what limits at each node alone would let through, so it would notice a scheme that does not work.
TEST(AccountLimitsOfNodesAlone, ExceedTheBound)
{
    bench::QuotaRun run;
    run.scheme = bench::QuotaScheme::NodeLimits;
    run.hotLimit = 50;
    EXPECT_GT(bench::runQuotaModel(run).mostOfBound, 2);
}
