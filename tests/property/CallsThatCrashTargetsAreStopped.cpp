// Guards against a call that crashes target after target, for as long as callers repeat it.

#include "tests/support/CalledService.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace pomelowind;
using base::Millis;
using tests::CalledService;

namespace {

constexpr int NODES = 5;
constexpr int OTHER_CALLERS_NODE = 4;
constexpr char CRASHING_PATH[] = "/again/crashing";
constexpr char CRASHING_BODY[] = "the body that crashes targets";
constexpr double CALLS_PER_SECOND = 60;
constexpr double FREQUENT_CALLS_PER_SECOND = 500;
constexpr Millis REPEAT_PERIOD(150);
// The bound for a connected mesh, and the number of crashes after which it holds.
constexpr Millis TIME_TO_LEARN(3000);
constexpr size_t CRASHES_TO_LEARN = 3;
// A mended cause is noticed within this time.
constexpr Millis LONGEST_BLOCK(900000);
// Time until all nodes have had their first trial.
constexpr Millis FIRST_BLOCK(62000);

CalledService::Options serviceOptions(uint64_t seed, bool usesProductProtocol)
{
    CalledService::Options out;
    out.nodes = NODES;
    out.targetsAt = { 0, 1, 2, 3 };
    out.seed = seed;
    out.distinctPaths = true;
    out.services = { "s", "s", "s", "s", "other" };
    out.usesProductProtocol = usesProductProtocol;
    return out;
}

// Three seeds for the platform's protocol and for the product's.
std::vector<CalledService::Options> variants()
{
    std::vector<CalledService::Options> out;
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        out.push_back(serviceOptions(seed, false));
        out.push_back(serviceOptions(seed, true));
    }
    return out;
}

std::string nameOf(const CalledService::Options& options)
{
    return "seed " + std::to_string(options.seed) + (options.usesProductProtocol ? ", product" : ", platform");
}

// Callers send the crashing call again and again at nodes in turn. Returns the ids of these calls.
std::vector<std::string> repeatCrashingCall(CalledService& service, Millis duration)
{
    std::vector<std::string> out;
    for (Millis at(0); at < duration; at += REPEAT_PERIOD) {
        out.push_back(service.send(static_cast<int>(out.size()) % OTHER_CALLERS_NODE, CRASHING_PATH, CRASHING_BODY));
        service.run(REPEAT_PERIOD, CALLS_PER_SECOND);
    }
    return out;
}

int arrivalsOf(const CalledService& service, const std::string& path, const std::string& body, base::Instant since)
{
    int n = 0;
    for (int node = 0; node < OTHER_CALLERS_NODE; ++node) {
        for (const auto& it : service.arrivals(node))
            n += it.at > since && it.node != OTHER_CALLERS_NODE && it.path == path && it.body == body ? 1 : 0;
    }
    return n;
}

// Returns at how many crashes calls ran.
size_t runningAtCrashes(const CalledService& service)
{
    return static_cast<size_t>(std::count_if(
        service.crashes().begin(), service.crashes().end(), [](const auto& it) { return !it.running.empty(); }));
}

int answeredOk(const CalledService& service, const std::vector<std::string>& ids)
{
    return static_cast<int>(
        std::count_if(ids.begin(), ids.end(), [&](const auto& it) { return service.statusOf(it) == 200; }));
}

}

class CallsThatCrashTargetsAreStopped : public testing::TestWithParam<bool> { };

TEST(CallsThatCrashTargetsAreStopped, ReachNoTargetLongAfterTheThirdCrash)
{
    for (const auto& options : variants()) {
        SCOPED_TRACE(nameOf(options));
        CalledService service(options);
        service.run(Millis(1000), CALLS_PER_SECOND);
        service.setCrashing(CRASHING_PATH, CRASHING_BODY);
        auto ids = repeatCrashingCall(service, Millis(12000));
        ASSERT_GE(service.crashes().size(), CRASHES_TO_LEARN);
        auto learned = service.crashes()[CRASHES_TO_LEARN - 1].at + TIME_TO_LEARN;
        EXPECT_EQ(arrivalsOf(service, CRASHING_PATH, CRASHING_BODY, learned), 0);
        service.run(Millis(1000), 0);
        EXPECT_EQ(service.statusOf(ids.back()), 503) << "it has not run, and is refused at once";
    }
}

TEST(CallsThatCrashTargetsAreStopped, AndNotRetriedByNodesOnceSuspected)
{
    for (const auto& options : variants()) {
        SCOPED_TRACE(nameOf(options));
        CalledService service(options);
        service.run(Millis(1000), CALLS_PER_SECOND);
        service.setCrashing(CRASHING_PATH, CRASHING_BODY);
        service.send(0, CRASHING_PATH, CRASHING_BODY);
        service.run(Millis(5000), CALLS_PER_SECOND);
        ASSERT_LT(service.crashes().size(), CRASHES_TO_LEARN);
        auto suspected = service.now();
        service.run(Millis(5), 0);
        service.send(1, CRASHING_PATH, CRASHING_BODY);
        service.run(Millis(2000), CALLS_PER_SECOND);
        EXPECT_EQ(arrivalsOf(service, CRASHING_PATH, CRASHING_BODY, suspected), 1);
    }
}

TEST(CallsThatCrashTargetsAreStopped, WhenTheirCallersLeaveBeforeTheCrash)
{
    for (auto options : variants()) {
        SCOPED_TRACE(nameOf(options));
        options.crashDelay = Millis(30);
        CalledService service(options);
        service.run(Millis(1000), CALLS_PER_SECOND);
        service.setCrashing(CRASHING_PATH, CRASHING_BODY);
        for (int i = 0; i < 80; ++i) {
            auto id = service.send(i % OTHER_CALLERS_NODE, CRASHING_PATH, CRASHING_BODY);
            service.run(Millis(20), CALLS_PER_SECOND);
            service.leave(id);
            service.run(REPEAT_PERIOD, CALLS_PER_SECOND);
        }
        ASSERT_GE(service.crashes().size(), CRASHES_TO_LEARN);
        auto learned = service.crashes()[CRASHES_TO_LEARN - 1].at + TIME_TO_LEARN;
        EXPECT_EQ(arrivalsOf(service, CRASHING_PATH, CRASHING_BODY, learned), 0);
    }
}

TEST(CallsThatCrashTargetsAreStopped, StayBlockedWhenNodesRestart)
{
    for (const auto& options : variants()) {
        SCOPED_TRACE(nameOf(options));
        CalledService service(options);
        service.run(Millis(1000), CALLS_PER_SECOND);
        service.setCrashing(CRASHING_PATH, CRASHING_BODY);
        repeatCrashingCall(service, Millis(8000));
        ASSERT_GE(service.crashes().size(), CRASHES_TO_LEARN);
        auto learned = service.crashes()[CRASHES_TO_LEARN - 1].at + TIME_TO_LEARN;
        for (int i = 0; i < OTHER_CALLERS_NODE; ++i) {
            service.restart(i);
            repeatCrashingCall(service, Millis(1000));
        }
        EXPECT_EQ(arrivalsOf(service, CRASHING_PATH, CRASHING_BODY, learned), 0);
    }
}

TEST(CallsThatCrashTargetsAreStopped, WhileInnocentCallsAreServed)
{
    for (const auto& options : variants()) {
        SCOPED_TRACE(nameOf(options));
        CalledService service(options);
        service.run(Millis(1000), CALLS_PER_SECOND);
        service.setCrashing(CRASHING_PATH, CRASHING_BODY);
        repeatCrashingCall(service, Millis(8000));
        std::vector<std::string> otherBody;
        std::vector<std::string> otherCaller;
        std::vector<std::string> bystanders;
        for (int i = 0; i < 20; ++i) {
            otherBody.push_back(service.send(i % OTHER_CALLERS_NODE, CRASHING_PATH, "another body"));
            otherCaller.push_back(service.send(OTHER_CALLERS_NODE, CRASHING_PATH, CRASHING_BODY));
            service.run(Millis(50), 0);
        }
        for (const auto& crash : service.crashes()) {
            for (const auto& it : crash.running) {
                bystanders.push_back(service.sendAgain(0, it));
                service.run(Millis(50), 0);
            }
        }
        service.run(Millis(1000), 0);
        EXPECT_EQ(answeredOk(service, otherBody), static_cast<int>(otherBody.size()));
        EXPECT_EQ(answeredOk(service, otherCaller), static_cast<int>(otherCaller.size()));
        EXPECT_GT(bystanders.size(), 0U);
        EXPECT_EQ(answeredOk(service, bystanders), static_cast<int>(bystanders.size()));
    }
}

TEST(CallsThatCrashTargetsAreStopped, UntilTheCauseIsGone)
{
    for (const auto& options : variants()) {
        SCOPED_TRACE(nameOf(options));
        CalledService service(options);
        service.run(Millis(1000), CALLS_PER_SECOND);
        service.setCrashing(CRASHING_PATH, CRASHING_BODY);
        repeatCrashingCall(service, Millis(8000));
        service.setCrashing({}, {});
        service.run(Millis(5000), CALLS_PER_SECOND);
        service.skip(LONGEST_BLOCK);
        repeatCrashingCall(service, Millis(3000));
        auto ids = repeatCrashingCall(service, Millis(3000));
        service.run(Millis(1000), 0);
        EXPECT_EQ(answeredOk(service, ids), static_cast<int>(ids.size()));
    }
}

TEST(CallsThatCrashTargetsAreStopped, ButNotForLongIfTargetsLostPowerTogether)
{
    for (auto options : variants()) {
        SCOPED_TRACE(nameOf(options));
        options.distinctPaths = false; // one frequent call runs at all targets
        CalledService service(options);
        service.run(Millis(1000), FREQUENT_CALLS_PER_SECOND);
        for (int i = 0; i < OTHER_CALLERS_NODE; ++i)
            service.crashTarget(i);
        EXPECT_EQ(runningAtCrashes(service), static_cast<size_t>(OTHER_CALLERS_NODE));
        service.run(FIRST_BLOCK, CALLS_PER_SECOND);
        auto before = service.answered(200, Millis::max());
        service.run(Millis(10000), CALLS_PER_SECOND);
        EXPECT_GT(service.answered(200, Millis::max()) - before, 500) << "of about 600";
    }
}
