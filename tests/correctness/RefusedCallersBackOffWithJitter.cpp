// Backoff advised to refused callers, and the weighted split of a route. Guards against refused callers that retry at
// the same moment, or before a slot is free, and are refused again.

#include "pomelowind/callers/RetryAdvice.h"
#include "pomelowind/callers/WeightedSplitter.h"

#include <gtest/gtest.h>
#include <map>
#include <set>

using namespace pomelowind;
using base::Millis;

TEST(RefusedCallersBackOffWithJitter, CallerThatCanBeInTimeRetriesWhenASlotIsExpected)
{
    base::Random random(1);
    callers::Refusal refusal { Millis(20), Millis(1900), Millis(280), Millis(100) };
    for (int i = 0; i < 200; ++i) {
        auto wait = callers::retryBackoff(refusal, random);
        EXPECT_GE(wait, Millis(20));
        EXPECT_LE(wait, Millis(30));
    }
}

TEST(RefusedCallersBackOffWithJitter, RetriesOfLateCallersAreSpreadOverTheirMaximumBackoff)
{
    base::Random random(1);
    callers::Refusal refusal { Millis(20), Millis(1500), Millis(-50), Millis(100) };
    std::set<int64_t> waits;
    for (int i = 0; i < 200; ++i) {
        auto wait = callers::retryBackoff(refusal, random);
        EXPECT_LE(wait, refusal.timeLeft / callers::MAX_BACKOFF_DIVISOR);
        waits.insert(wait.count());
    }
    EXPECT_GT(waits.size(), 100u);
}

TEST(RefusedCallersBackOffWithJitter, BackoffNeverExceedsTimeLeft)
{
    base::Random random(1);
    callers::Refusal refusal { Millis(5000), Millis(300), Millis(200), Millis(100) };
    EXPECT_LE(callers::retryBackoff(refusal, random), Millis(100));
}

TEST(RefusedCallersBackOffWithJitter, CallersOfStartingNodeRetryWhenItShouldBeReady)
{
    base::Random random(1);
    for (int i = 0; i < 200; ++i) {
        auto early = callers::startupBackoff(Millis(100), random);
        EXPECT_GE(early, Millis(300));
        EXPECT_LE(early, Millis(450));
        auto late = callers::startupBackoff(Millis(60000), random);
        EXPECT_GE(late, Millis(250));
        EXPECT_LE(late, Millis(375));
    }
}

TEST(RefusedCallersBackOffWithJitter, TwoWaySplitIsExactToWithinOneRequest)
{
    wire::Route route;
    route.name = "r";
    for (auto [name, weight] : { std::pair("a", 90), std::pair("b", 10), std::pair("c", 0) }) {
        wire::SplitPart part;
        part.serviceName = name;
        part.weight = weight;
        route.split.push_back(part);
    }
    callers::WeightedSplitter splitter(1);
    std::map<std::string, int> seen;
    for (int i = 1; i <= 1000; ++i) {
        ++seen[splitter.choose(route)];
        EXPECT_NEAR(seen["b"], i * 0.1, 1) << i;
    }
    EXPECT_EQ(seen["c"], 0);
}
