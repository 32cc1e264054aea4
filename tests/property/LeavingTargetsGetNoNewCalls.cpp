// Guards against a target that says in its responses that it leaves and still gets calls until it announces so.

#include "tests/support/CalledService.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Millis;
using tests::CalledService;

namespace {

// A target that leaves serves calls that were sent up to this long after it said so.
constexpr Millis DRAIN_TIME(2000);

}

TEST(LeavingTargetsGetNoNewCalls, WhenTheirAnnouncementsStillSayServing)
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        SCOPED_TRACE(seed);
        CalledService::Options options;
        options.seed = seed;
        CalledService service(options);
        service.run(Millis(1000 + 130 * static_cast<int>(seed)), 60);
        service.setNotice(1, { {}, true });
        // Some call is answered with the header well within this time.
        auto said = service.now() + Millis(500);
        service.run(Millis(5000), 60);
        auto isTooLate = [&](const auto& it) { return it.sentAt > said + DRAIN_TIME; };
        const auto& arrivals = service.arrivals(1);
        EXPECT_EQ(std::count_if(arrivals.begin(), arrivals.end(), isTooLate), 0);
    }
}

TEST(LeavingTargetsGetNoNewCalls, WhenTheNodesBesideThemRestart)
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        SCOPED_TRACE(seed);
        CalledService::Options options;
        options.seed = seed;
        CalledService service(options);
        service.run(Millis(1000), 60);
        service.setNotice(1, { {}, true });
        service.run(Millis(1500), 60);
        for (int i = 0; i < 4; ++i) {
            service.run(Millis(300 + 200 * i), 60);
            service.restart(1);
        }
        service.run(Millis(2000), 60);
        auto isTooLate = [](const auto& it) { return it.informedAt && it.sentAt > *it.informedAt + DRAIN_TIME; };
        const auto& arrivals = service.arrivals(1);
        EXPECT_EQ(std::count_if(arrivals.begin(), arrivals.end(), isTooLate), 0);
        EXPECT_EQ(service.answered(503, Millis::max()), 0) << "the other target has free slots";
    }
}

TEST(LeavingTargetsGetNoNewCalls, WhenTheNodesBesideThemFreezeAndCallersResendAtOnce)
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        SCOPED_TRACE(seed);
        CalledService::Options options;
        options.seed = seed;
        options.resends = 3;
        CalledService service(options);
        service.run(Millis(1000), 60);
        service.setNotice(1, { {}, true });
        service.run(Millis(200 * static_cast<int>(seed)), 60);
        service.setFrozen(1, true);
        service.run(Millis(3000), 60);
        service.setFrozen(1, false);
        service.run(Millis(3000), 60);
        auto isTooLate = [](const auto& it) { return it.informedAt && it.sentAt > *it.informedAt + DRAIN_TIME; };
        const auto& arrivals = service.arrivals(1);
        EXPECT_EQ(std::count_if(arrivals.begin(), arrivals.end(), isTooLate), 0);
    }
}
