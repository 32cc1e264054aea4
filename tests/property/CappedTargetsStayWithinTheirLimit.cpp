// Guards against a target that names the calls per second that it accepts and gets more of them.

#include "tests/support/CalledService.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Instant;
using base::Millis;
using tests::CalledService;

namespace {

// The platform's bound: calls in any such window, beyond one and a half times what the limit allows.
constexpr Millis WINDOW(4000);
constexpr double TOLERANCE = 1.5;
constexpr int SLACK = 5;
// It holds once the limit has been named for this long.
constexpr Millis NAMED_FOR(3000);
// It counts the calls of nodes that have passed on the limit for this long.
constexpr Millis INFORMED_FOR(500);
// Callers of CalledService wait for this long.
constexpr Millis DEADLINE(5000);

// Returns the largest number of calls of informed nodes that arrived in a window that ends between `from` and `to`.
int mostInWindow(const std::vector<tests::ArrivedCall>& arrivals, Instant from, Instant to)
{
    std::vector<Instant> counted;
    for (const auto& it : arrivals) {
        if (it.informedAt && it.sentAt >= *it.informedAt + INFORMED_FOR)
            counted.push_back(it.at);
    }
    size_t out = 0;
    for (size_t first = 0, last = 0; last < counted.size() && counted[last] <= to; ++last) {
        while (counted[first] <= counted[last] - WINDOW)
            ++first;
        if (counted[last] >= from)
            out = std::max(out, last - first + 1);
    }
    return static_cast<int>(out);
}

double allowed(double limit) { return TOLERANCE * limit * static_cast<double>(WINDOW.count()) / 1000 + SLACK; }

}

TEST(CappedTargetsStayWithinTheirLimit, WhenCallersOfAllNodesAskForMore)
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        SCOPED_TRACE(seed);
        CalledService::Options options;
        options.seed = seed;
        CalledService service(options);
        auto limit = static_cast<double>(seed * seed);
        service.run(Millis(1000 + 170 * static_cast<int>(seed)), 90);
        service.setNotice(1, { limit, false });
        auto named = service.now();
        service.run(Millis(9000), 90);
        auto lifted = service.now();
        EXPECT_LE(mostInWindow(service.arrivals(1), named + NAMED_FOR, lifted), allowed(limit));
        EXPECT_GE(mostInWindow(service.arrivals(1), named + NAMED_FOR, lifted), limit)
            << "what the target accepts is used";
        EXPECT_EQ(service.answered(503, Millis::max()), 0) << "the other target has free slots";
        service.setNotice(1, {});
        auto before = service.arrivals(1).size();
        service.run(WINDOW, 90);
        EXPECT_GT(static_cast<double>(service.arrivals(1).size() - before), allowed(limit))
            << "a limit that is named no more is lifted";
    }
}

TEST(CappedTargetsStayWithinTheirLimit, WhenTheNodesBesideThemRestart)
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        SCOPED_TRACE(seed);
        CalledService::Options options;
        options.seed = seed;
        CalledService service(options);
        auto limit = 0.5 * static_cast<double>(seed * seed);
        service.run(Millis(1000), 90);
        service.setNotice(1, { limit, false });
        service.setNotice(2, { 4 * limit, false });
        auto named = service.now();
        service.run(Millis(2100), 90);
        for (int i = 0; i < 8; ++i) {
            service.run(Millis(500 + 130 * i), 90);
            service.restart(i % 3 == 2 ? 2 : 1);
        }
        service.run(Millis(1000), 90);
        service.run(DEADLINE, 0);
        EXPECT_EQ(service.openCalls(), 0u) << "every caller gets an answer";
        EXPECT_LE(mostInWindow(service.arrivals(1), named + NAMED_FOR, service.now()), allowed(limit));
        EXPECT_LE(mostInWindow(service.arrivals(2), named + NAMED_FOR, service.now()), allowed(4 * limit));
    }
}

TEST(CappedTargetsStayWithinTheirLimit, WhenTheNodesBesideThemFreezeAndCallersResendAtOnce)
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        SCOPED_TRACE(seed);
        CalledService::Options options;
        options.seed = seed;
        options.resends = 3;
        CalledService service(options);
        auto limit = 0.5 * static_cast<double>(seed * seed);
        service.run(Millis(1000), 90);
        service.setNotice(1, { limit, false });
        service.setNotice(2, { 4 * limit, false });
        auto named = service.now();
        service.run(Millis(2500), 90);
        for (int i = 0; i < 6; ++i) {
            int node = i % 3 == 2 ? 2 : 1;
            service.run(Millis(300 + 170 * i), 90);
            service.setFrozen(node, true);
            service.run(Millis(200 + 350 * i), 90);
            service.setFrozen(node, false);
        }
        service.run(Millis(3000), 90);
        EXPECT_LE(mostInWindow(service.arrivals(1), named + NAMED_FOR, service.now()), allowed(limit));
        EXPECT_LE(mostInWindow(service.arrivals(2), named + NAMED_FOR, service.now()), allowed(4 * limit));
        EXPECT_GE(mostInWindow(service.arrivals(2), named + NAMED_FOR, service.now()), 4 * limit)
            << "what the target accepts is used";
    }
}

TEST(CappedTargetsStayWithinTheirLimit, WhenTheLimitRisesFallsAndEnds)
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        SCOPED_TRACE(seed);
        CalledService::Options options;
        options.seed = seed;
        CalledService service(options);
        service.run(Millis(1000), 90);
        for (double limit : { 10.0, 2.0, 20.0, 0.0, 6.0 }) {
            SCOPED_TRACE(limit);
            service.setNotice(1, { limit, false });
            auto named = service.now();
            service.run(Millis(2700 + 190 * static_cast<int>(seed)), 90);
            auto settled = named + WINDOW;
            service.run(WINDOW, 90);
            EXPECT_LE(mostInWindow(service.arrivals(1), settled, service.now()), allowed(limit));
            EXPECT_GE(mostInWindow(service.arrivals(1), settled, service.now()), limit) << "a raised limit is used";
        }
        service.setNotice(1, {});
        auto before = service.arrivals(1).size();
        service.run(WINDOW, 90);
        EXPECT_GT(static_cast<double>(service.arrivals(1).size() - before), allowed(20)) << "the limit has ended";
        EXPECT_EQ(service.answered(503, Millis::max()), 0) << "the other target has free slots";
    }
}
