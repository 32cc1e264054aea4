// Guards against a gate that sends a cold target more calls in a span of one second than it accepts, wherever the span
// begins, or that refuses calls which the target would have accepted in time.

#include "pomelowind/base/Random.h"
#include "pomelowind/targets/Gate.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Instant;
using base::Micros;
using base::Millis;
using targets::ColdRateLimiter;
using targets::GateVerdict;

namespace {

const Instant T0 = Instant() + std::chrono::hours(1);

// Returns the largest number of `starts` in a closed span of `window`.
size_t mostWithin(Millis window, const std::vector<Instant>& starts)
{
    size_t out = 0;
    for (size_t first = 0, last = 0; last < starts.size(); ++last) {
        while (starts[first] < starts[last] - window)
            ++first;
        out = std::max(out, last - first + 1);
    }
    return out;
}

targets::Gate coldGate(double callsPerSecond, Instant until)
{
    targets::GateOptions options;
    options.slots = 100;
    options.coldStart = Millis(0);
    targets::Gate out(options, T0);
    out.setColdRate(callsPerSecond);
    out.setColdUntil(until);
    return out;
}

targets::GateCall call(uint64_t id, Millis untilDeadline, Instant now = T0)
{
    targets::GateCall out;
    out.id = id;
    out.account = out.kind = "k";
    out.deadline = now + untilDeadline;
    return out;
}

// Offers `n` calls and returns how many run at once.
int runAtOnce(targets::Gate& gate, int n, Instant now)
{
    std::optional<uint64_t> shed;
    int out = 0;
    auto it = call(1, Millis(500), now);
    it.mayQueue = false;
    for (int i = 0; i < n; ++i)
        out += gate.admit(it, now, shed) == GateVerdict::Run ? 1 : 0;
    return out;
}

}

TEST(ColdTargetsGetNoMoreThanTheirRate, InAnySpanOfOneSecond)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        base::Random random(seed);
        for (double rate : { 1.0, 2.7, 13.0, 40.0 }) {
            ColdRateLimiter limiter(rate);
            std::vector<Instant> starts;
            auto now = T0;
            for (int i = 0; i < 2000; ++i) {
                now += Micros(static_cast<int64_t>(random.uniformBelow(i % 100 < 50 ? 2000 : 200000)));
                if (limiter.canStart(now)) {
                    limiter.onStarted(now);
                    starts.push_back(now);
                }
            }
            EXPECT_LE(mostWithin(Millis(1000), starts), static_cast<size_t>(rate)) << seed << " " << rate;
        }
    }
}

TEST(ColdTargetsGetNoMoreThanTheirRate, AcrossTheBoundaryOfTwoSeconds)
{
    ColdRateLimiter limiter(13);
    for (int i = 0; i < 13; ++i)
        limiter.onStarted(T0 + Millis(990));
    EXPECT_FALSE(limiter.canStart(T0 + Millis(1010)));
    EXPECT_FALSE(limiter.canStart(T0 + Millis(1990))) << "the span includes both of its ends";
    EXPECT_TRUE(limiter.canStart(T0 + Millis(2010))) << "with 20 ms for different travel times";
}

TEST(ColdTargetsGetNoMoreThanTheirRate, WhenTheRateIsBelowOneOrRaised)
{
    ColdRateLimiter slow(0.5);
    slow.onStarted(T0);
    EXPECT_FALSE(slow.canStart(T0 + Millis(1999)));
    EXPECT_TRUE(slow.canStart(T0 + Millis(2020)));
    ColdRateLimiter raised(2);
    for (int i = 0; i < 5; ++i)
        raised.onStarted(T0 + Millis(i));
    raised.setRate(5);
    EXPECT_FALSE(raised.canStart(T0 + Millis(10))) << "five calls have started, of which it remembers two";
}

TEST(ColdTargetsGetNoMoreThanTheirRate, PredictedWaitsAreExact)
{
    for (int before : { 0, 1, 2, 3, 7 }) {
        ColdRateLimiter limiter(3);
        auto now = T0;
        for (int i = 0; i < before; ++i)
            limiter.onStarted(now += Millis(100));
        auto copy = limiter;
        for (int n = 1; n <= 12; ++n) {
            auto at = now;
            while (!copy.canStart(at))
                at += Micros(100);
            copy.onStarted(at);
            double waitedMs = std::chrono::duration<double, std::milli>(at - now).count();
            EXPECT_NEAR(limiter.waitMs(n, now), waitedMs, 2) << before << " " << n;
        }
    }
}

TEST(ColdTargetsGetNoMoreThanTheirRate, CallsBeyondItAreRefusedWithTheTimeUntilTheyCouldStart)
{
    auto gate = coldGate(13, Instant::max());
    EXPECT_EQ(runAtOnce(gate, 40, T0), 13);
    EXPECT_TRUE(gate.isAtColdRate(T0));
    EXPECT_EQ(gate.retryAfter(T0 + Millis(400)), Millis(620));
    EXPECT_EQ(runAtOnce(gate, 40, T0 + Millis(1000)), 0);
    EXPECT_EQ(runAtOnce(gate, 40, T0 + Millis(1020)), 13);
}

TEST(ColdTargetsGetNoMoreThanTheirRate, CallsThatCanStartInTimeAreQueued)
{
    auto gate = coldGate(2, T0 + Millis(1500));
    EXPECT_EQ(runAtOnce(gate, 5, T0), 2);
    std::optional<uint64_t> shed;
    EXPECT_EQ(gate.admit(call(7, Millis(900)), T0, shed), GateVerdict::Overloaded) << "its turn comes after 1 s";
    EXPECT_EQ(gate.admit(call(8, Millis(1200)), T0, shed), GateVerdict::Queued);
    EXPECT_EQ(gate.admit(call(9, Millis(1200)), T0, shed), GateVerdict::Queued);
    EXPECT_EQ(gate.admit(call(10, Millis(1400)), T0, shed), GateVerdict::Overloaded) << "its turn comes after 1.5 s";
    EXPECT_EQ(gate.admit(call(11, Millis(1700)), T0, shed), GateVerdict::Queued) << "the target is hot after 1.5 s";
    EXPECT_TRUE(gate.sweep(T0 + Millis(1000)).run.empty());
    EXPECT_EQ(gate.sweep(T0 + Millis(1020)).run.size(), 2u);
    EXPECT_EQ(gate.sweep(T0 + Millis(1500)).run.size(), 1u);
}

TEST(ColdTargetsGetNoMoreThanTheirRate, CallsFromBeforeItBecameColdOrWasReplacedCount)
{
    auto gate = coldGate(13, Instant());
    EXPECT_EQ(runAtOnce(gate, 20, T0), 20) << "a target that is not cold has no limit";
    gate.setColdUntil(T0 + Millis(3000));
    EXPECT_EQ(runAtOnce(gate, 20, T0 + Millis(500)), 0) << "it may have been cold already";
    auto next = coldGate(13, Instant::max());
    next.adoptStarts(gate);
    EXPECT_EQ(runAtOnce(next, 20, T0 + Millis(900)), 0) << "its process may have got them";
    EXPECT_EQ(runAtOnce(next, 20, T0 + Millis(1020)), 13);
}

TEST(ColdTargetsGetNoMoreThanTheirRate, TargetsWithoutARateAreNotLimited)
{
    auto gate = coldGate(13, Instant::max());
    gate.setColdRate({});
    EXPECT_EQ(runAtOnce(gate, 90, T0), 90);
    EXPECT_FALSE(gate.isColdLimited(T0));
}
