// Guards against nodes that together send a cold target more calls in a second than the platform allows.

#include "tests/support/CalledService.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Instant;
using base::Millis;
using tests::CalledService;

namespace {

constexpr double COLD_RATE = 13;
// The platform allows one and a half times the rate and eight calls in any span of one second.
constexpr double ALLOWED = COLD_RATE * 1.5 + 8;
constexpr Millis COLD_START(3000);
constexpr double OFFERED = 120;

CalledService::Options options(uint64_t seed, Millis coldLeft)
{
    CalledService::Options out;
    out.seed = seed;
    out.coldCallsPerSecond = COLD_RATE;
    out.coldLeft = coldLeft;
    return out;
}

// Returns the largest number of calls that arrived between `from` and `to` in a span of one second.
double mostInOneSecond(const std::vector<tests::ArrivedCall>& arrivals, Instant from, Instant to)
{
    std::vector<Instant> counted;
    for (const auto& it : arrivals) {
        if (it.at >= from && it.at <= to)
            counted.push_back(it.at);
    }
    size_t out = 0;
    for (size_t first = 0, last = 0; last < counted.size(); ++last) {
        while (counted[first] < counted[last] - Millis(1000))
            ++first;
        out = std::max(out, last - first + 1);
    }
    return static_cast<double>(out);
}

}

TEST(ColdTargetsStayWithinTheirRate, FromTheirStartUntilTheyAreHot)
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        SCOPED_TRACE(seed);
        CalledService service(options(seed, COLD_START));
        auto begin = service.now();
        service.run(COLD_START, OFFERED);
        auto end = service.now() - Millis(5);
        for (int target : { 1, 2 }) {
            EXPECT_LE(mostInOneSecond(service.arrivals(target), begin, end), COLD_RATE);
            EXPECT_GE(mostInOneSecond(service.arrivals(target), begin, end), COLD_RATE - 1) << "its rate is used";
        }
        EXPECT_GT(service.answered(503, Millis(100)), 0) << "calls beyond it are refused at once";
        auto before = service.arrivals(1).size();
        service.run(Millis(1000), OFFERED);
        EXPECT_GT(service.arrivals(1).size() - before, 2 * COLD_RATE) << "a hot target has no limit";
    }
}

TEST(ColdTargetsStayWithinTheirRate, WhenTheyBecomeColdAgain)
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        SCOPED_TRACE(seed);
        CalledService service(options(seed, Millis(0)));
        service.run(Millis(1500), OFFERED);
        auto cold = service.now();
        service.announce(COLD_START);
        service.run(Millis(2500), OFFERED);
        EXPECT_LE(mostInOneSecond(service.arrivals(1), cold + Millis(5), service.now()), COLD_RATE);
        service.announce(Millis(0));
        auto hot = service.now();
        service.run(Millis(1000), OFFERED);
        EXPECT_GT(mostInOneSecond(service.arrivals(1), hot, service.now()), 2 * COLD_RATE);
    }
}

TEST(ColdTargetsStayWithinTheirRate, WhenTheNodesBesideThemRestart)
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        SCOPED_TRACE(seed);
        CalledService service(options(seed, COLD_START));
        auto begin = service.now();
        service.run(Millis(300 + 100 * static_cast<int>(seed)), OFFERED);
        service.restart(1);
        service.run(Millis(1500), OFFERED);
        EXPECT_LE(mostInOneSecond(service.arrivals(1), begin, service.now()), ALLOWED);
    }
}

TEST(ColdTargetsStayWithinTheirRate, WhenTheyStartAgainAndHaveNotAnnouncedItYet)
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        SCOPED_TRACE(seed);
        auto it = options(seed, Millis(0));
        it.announcesStarts = false;
        it.downTime = Millis(100);
        CalledService service(it);
        service.run(Millis(1500), OFFERED);
        service.crashTarget(1);
        auto started = service.now();
        service.run(Millis(1500), OFFERED);
        EXPECT_LE(mostInOneSecond(service.arrivals(1), started, service.now()), COLD_RATE);
        EXPECT_GT(mostInOneSecond(service.arrivals(1), started, service.now()), 0);
    }
}

TEST(ColdTargetsStayWithinTheirRate, WhenTheNodesBesideThemHaveNoConfigurationYet)
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        SCOPED_TRACE(seed);
        auto it = options(seed, COLD_START);
        it.gatesKnowColdRate = false;
        CalledService service(it);
        auto begin = service.now();
        service.run(Millis(2000), OFFERED);
        EXPECT_LE(mostInOneSecond(service.arrivals(1), begin, service.now()), COLD_RATE);
        EXPECT_LE(mostInOneSecond(service.arrivals(2), begin, service.now()), COLD_RATE);
    }
}
