// Guards against a gate that lets calls wait for a rate at which they cannot be served, or wastes what the target
// accepts.

#include "pomelowind/base/Random.h"
#include "pomelowind/targets/Gate.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Instant;
using base::Millis;
using targets::Gate;
using targets::GateCall;
using targets::GateVerdict;

namespace {

const Instant T0 = Instant() + std::chrono::hours(1);
constexpr int URGENT = 9;
constexpr int PATIENT = 5;

targets::GateOptions options()
{
    targets::GateOptions out;
    out.slots = 8;
    out.coldStart = Millis(0);
    return out;
}

GateCall call(uint64_t id, int priority, Millis untilDeadline, Instant now = T0)
{
    GateCall out;
    out.id = id;
    out.account = out.kind = "k";
    out.priority = priority;
    out.deadline = now + untilDeadline;
    return out;
}

class GateKeepsToTheAcceptedRate : public testing::Test {
protected:
    GateVerdict admit(const GateCall& it, Instant now = T0) { return gate.admit(it, now, shed); }

    Gate gate { options(), T0 };
    std::optional<uint64_t> shed;
};

}

TEST_F(GateKeepsToTheAcceptedRate, CallThatCannotGetItsTurnBeforeItsDeadlineIsRefusedAtOnce)
{
    gate.setMaxRate(2, T0);
    EXPECT_EQ(admit(call(1, URGENT, Millis(900))), GateVerdict::Run);
    EXPECT_EQ(admit(call(2, URGENT, Millis(900))), GateVerdict::Queued) << "its turn comes in 500 ms";
    EXPECT_EQ(admit(call(3, URGENT, Millis(900))), GateVerdict::Overloaded) << "its turn would come in 1 s";
    EXPECT_EQ(gate.retryAfter(T0), Millis(1000));
    EXPECT_TRUE(gate.sweep(T0 + Millis(490)).run.empty());
    EXPECT_EQ(gate.sweep(T0 + Millis(510)).run, std::vector<uint64_t> { 2 });
}

TEST_F(GateKeepsToTheAcceptedRate, QueuedCallsThatALowerRateLeavesBehindAreRefusedAtOnce)
{
    gate.setMaxRate(10, T0 - Millis(1000));
    for (uint64_t id = 0; id < 5; ++id)
        ASSERT_EQ(admit(call(id, PATIENT, Millis(2500))), GateVerdict::Run);
    for (uint64_t id = 5; id < 10; ++id)
        ASSERT_EQ(admit(call(id, id == 9 ? URGENT : PATIENT, Millis(2500))), GateVerdict::Queued);
    gate.setMaxRate(1, T0);
    EXPECT_EQ(gate.sweep(T0 + Millis(1)).refuse, (std::vector<uint64_t> { 6, 7, 8 }))
        << "the urgent call and the first one keep their turns";
}

TEST_F(GateKeepsToTheAcceptedRate, TargetThatAcceptsNoCallsGetsAnOccasionalOne)
{
    gate.setMaxRate(0, T0);
    EXPECT_EQ(admit(call(1, URGENT, Millis(1000))), GateVerdict::Run);
    EXPECT_EQ(admit(call(2, URGENT, Millis(1000))), GateVerdict::Overloaded);
    auto later = T0 + Millis(2000);
    EXPECT_EQ(admit(call(3, URGENT, Millis(1000), later), later), GateVerdict::Run);
}

TEST_F(GateKeepsToTheAcceptedRate, LiftedLimitLeavesTheSlotsAsTheOnlyBound)
{
    gate.setMaxRate(2, T0);
    ASSERT_EQ(admit(call(1, URGENT, Millis(2000))), GateVerdict::Run);
    ASSERT_EQ(admit(call(2, URGENT, Millis(2000))), GateVerdict::Queued);
    gate.setMaxRate(std::nullopt, T0);
    EXPECT_EQ(gate.sweep(T0).run, std::vector<uint64_t> { 2 });
    for (uint64_t id = 3; id <= 8; ++id)
        EXPECT_EQ(admit(call(id, URGENT, Millis(2000))), GateVerdict::Run);
    EXPECT_EQ(gate.retryAfter(T0), Millis(100)) << "all slots are busy";
}

// Urgent calls take nearly all that the target accepts, so that most others cannot be served.
TEST_F(GateKeepsToTheAcceptedRate, FewCallsWaitInVainBehindUrgentOnes)
{
    constexpr Millis OBJECTIVE(300);
    constexpr Millis DEADLINE(1000);
    constexpr int MIN_REFUSED_PER_WAIT_IN_VAIN = 20;
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        base::Random random(seed);
        Gate capped(options(), T0);
        capped.setMaxRate(10, T0);
        int refusedAtOnce = 0;
        int refusedLater = 0;
        for (auto now = T0; now < T0 + Millis(60000); now += Millis(5)) {
            for (int priority : { URGENT, PATIENT }) {
                if (!random.bernoulli(priority == URGENT ? 0.045 : 0.05))
                    continue;
                auto it = call(static_cast<uint64_t>(base::toMillis(now - T0)) * 10 + static_cast<uint64_t>(priority),
                    priority, DEADLINE, now);
                it.objective = now + OBJECTIVE;
                auto verdict = capped.admit(it, now, shed);
                if (verdict == GateVerdict::Run)
                    capped.finished("k", Millis(40), now);
                refusedAtOnce += verdict == GateVerdict::Overloaded && priority == PATIENT ? 1 : 0;
            }
            auto step = capped.sweep(now);
            refusedLater += static_cast<int>(step.refuse.size());
            for (size_t i = 0; i < step.run.size(); ++i)
                capped.finished("k", Millis(40), now);
        }
        EXPECT_GT(refusedAtOnce, MIN_REFUSED_PER_WAIT_IN_VAIN * refusedLater) << seed;
    }
}
