// Guards against a gate that, offered twice the capacity of its target, serves calls too late or refuses them only
// after a long wait. Simulates callers of two priorities in virtual time and counts calls in time, late and refused.

#include "pomelowind/base/Random.h"
#include "pomelowind/targets/Gate.h"

#include <gtest/gtest.h>
#include <map>
#include <queue>

using namespace pomelowind;
using base::Instant;
using base::Millis;
using targets::Gate;
using targets::GateVerdict;

namespace {

const Instant T0 = Instant() + std::chrono::hours(1);
constexpr int SLOTS = 6;
constexpr Millis OBJECTIVE(300);
constexpr Millis DEADLINE(1000);
constexpr int URGENT = 9;
constexpr int PATIENT = 7;

struct Tally {
    int offered { 0 };
    int inTime { 0 };
    int late { 0 };
    int refusedAtOnce { 0 };
    int refusedLater { 0 };
    double share(int n) const { return static_cast<double>(n) / std::max(1, offered); }
};

struct Arrival {
    Instant at;
    int priority;
    Millis work;
};

// Simulates calls that arrive at one gate, with a burst in the middle that offers `load` times the capacity of the
// target.
class Simulation {
public:
    Simulation(uint64_t seed, double load)
        : m_random(seed)
        , m_gate(options(), T0)
    {
        for (auto at = T0; at < T0 + Millis(12000); at += Millis(1)) {
            bool isBurst = at >= T0 + Millis(2000) && at < T0 + Millis(6000);
            double perMs = (isBurst ? load : 0.7) * SLOTS / MEAN_WORK_MS;
            if (m_random.bernoulli(perMs))
                arrive({ at, m_random.bernoulli(0.3) ? URGENT : PATIENT, Millis(50 + m_random.uniformBelow(101)) });
            advance(at);
        }
    }

    const Tally& of(int priority, bool inBurst) { return m_tallies[{ priority, inBurst }]; }

private:
    static constexpr double MEAN_WORK_MS = 100;

    static targets::GateOptions options()
    {
        targets::GateOptions out;
        out.slots = SLOTS;
        out.coldStart = Millis(0);
        return out;
    }

    Tally& tally(const Arrival& arrival)
    {
        bool inBurst = arrival.at >= T0 + Millis(2000) && arrival.at < T0 + Millis(6000);
        return m_tallies[{ arrival.priority, inBurst }];
    }

    void arrive(const Arrival& arrival)
    {
        uint64_t id = m_arrivals.size();
        m_arrivals.push_back(arrival);
        ++tally(arrival).offered;
        targets::GateCall call { id, "a", arrival.priority, arrival.at + DEADLINE, arrival.at + OBJECTIVE, "k", true };
        std::optional<uint64_t> shed;
        auto verdict = m_gate.admit(call, arrival.at, shed);
        if (shed)
            ++tally(m_arrivals[*shed]).refusedLater;
        if (verdict == GateVerdict::Run)
            m_running.push({ arrival.at + arrival.work, id });
        else if (verdict == GateVerdict::Overloaded)
            ++tally(arrival).refusedAtOnce;
    }

    void advance(Instant now)
    {
        apply(m_gate.sweep(now), now);
        while (!m_running.empty() && m_running.top().first <= now) {
            uint64_t id = m_running.top().second;
            m_running.pop();
            const auto& it = m_arrivals[id];
            ++(now - it.at <= OBJECTIVE ? tally(it).inTime : tally(it).late);
            apply(m_gate.finished("k", it.work, now), now);
        }
    }

    void apply(const targets::GateStep& step, Instant now)
    {
        for (uint64_t id : step.refuse)
            ++tally(m_arrivals[id]).refusedLater;
        for (uint64_t id : step.run)
            m_running.push({ now + m_arrivals[id].work, id });
    }

    using Completion = std::pair<Instant, uint64_t>;
    base::Random m_random;
    Gate m_gate;
    std::vector<Arrival> m_arrivals;
    std::priority_queue<Completion, std::vector<Completion>, std::greater<>> m_running;
    std::map<std::pair<int, bool>, Tally> m_tallies;
};

}

TEST(GateServesInTimeUnderOverload, UrgentCallsAreServedInTimeAtTwiceTheCapacity)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        Simulation simulation(seed, 2.0);
        const auto& urgent = simulation.of(URGENT, true);
        const auto& patient = simulation.of(PATIENT, true);
        EXPECT_GT(urgent.share(urgent.inTime), 0.9) << seed;
        EXPECT_GT(patient.share(patient.inTime), 0.1) << seed << ": lower priority calls must not starve";
        EXPECT_GT(urgent.share(urgent.inTime), patient.share(patient.inTime)) << seed;
    }
}

TEST(GateServesInTimeUnderOverload, CallsThatCannotBeServedAreMostlyRefusedAtOnce)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        Simulation simulation(seed, 2.0);
        const auto& patient = simulation.of(PATIENT, true);
        EXPECT_GT(patient.refusedAtOnce, 3 * patient.refusedLater) << seed;
    }
}

TEST(GateServesInTimeUnderOverload, CallsAreServedInTimeAgainAfterBurst)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        Simulation simulation(seed, 2.0);
        const auto& patient = simulation.of(PATIENT, false);
        EXPECT_GT(patient.share(patient.inTime), 0.85) << seed << ": late calls must not keep the target busy";
    }
}

TEST(GateServesInTimeUnderOverload, CallThatMayNotWaitIsRefusedWhenAllSlotsAreBusy)
{
    targets::GateOptions options;
    options.slots = 1;
    options.coldStart = Millis(0);
    Gate gate(options, T0);
    std::optional<uint64_t> shed;
    targets::GateCall call { 1, "a", URGENT, T0 + DEADLINE, T0 + OBJECTIVE, "k", false };
    EXPECT_EQ(gate.admit(call, T0, shed), GateVerdict::Run);
    call.id = 2;
    EXPECT_EQ(gate.admit(call, T0, shed), GateVerdict::Overloaded);
    call.mayQueue = true;
    EXPECT_EQ(gate.admit(call, T0, shed), GateVerdict::Queued);
}

// Running calls issue nested calls to a service that is overloaded by its own callers. Refusing nested calls would
// waste the work of the running calls.
TEST(GateServesInTimeUnderOverload, NestedCallsRunFirstWithinTheirPriority)
{
    targets::GateOptions options;
    options.slots = 2;
    options.coldStart = Millis(0);
    Gate gate(options, T0);
    std::optional<uint64_t> shed;
    auto call = [](uint64_t id, int priority, bool isNested) {
        targets::GateCall out { id, isNested ? "n" : "u", priority, T0 + DEADLINE, T0 + Millis(100), "k" };
        out.nested = isNested;
        return out;
    };
    EXPECT_EQ(gate.admit(call(1, PATIENT, false), T0, shed), GateVerdict::Run);
    EXPECT_EQ(gate.admit(call(2, PATIENT, false), T0, shed), GateVerdict::Run);
    for (uint64_t id = 3; id <= 10; ++id)
        EXPECT_EQ(gate.admit(call(id, PATIENT, false), T0, shed), GateVerdict::Queued);
    EXPECT_EQ(gate.admit(call(11, PATIENT, true), T0, shed), GateVerdict::Queued);
    EXPECT_TRUE(shed) << "the queue is full";
    EXPECT_EQ(gate.admit(call(12, URGENT, false), T0, shed), GateVerdict::Queued);
    EXPECT_EQ(gate.finished("k", Millis(50), T0 + Millis(20)).run, std::vector<uint64_t> { 12 });
    // Once all calls are late, the nested call still comes first.
    EXPECT_EQ(gate.finished("k", Millis(50), T0 + Millis(150)).run, std::vector<uint64_t> { 11 });
}

// Guards against refusing calls that could be served in time, because calls of a higher priority are frequent. The
// refused calls would only be retried, and then be late.
TEST(GateServesInTimeUnderOverload, CallsThatCanBeInTimeAreAdmittedWhenUrgentCallsAreFrequent)
{
    targets::GateOptions options;
    options.slots = SLOTS;
    options.coldStart = Millis(0);
    Gate gate(options, T0);
    std::optional<uint64_t> shed;
    auto now = T0;
    uint64_t id = 0;
    // Urgent calls of 50 ms use five of the six slots.
    for (; id < 200; ++id) {
        now += Millis(10);
        if (gate.admit({ id, "u", URGENT, now + DEADLINE, now + OBJECTIVE, "k" }, now, shed) == GateVerdict::Run)
            gate.finished("k", Millis(50), now);
    }
    for (int i = 0; i < SLOTS; ++i)
        ASSERT_EQ(gate.admit({ ++id, "u", URGENT, now + DEADLINE, now + OBJECTIVE, "k" }, now, shed), GateVerdict::Run);
    ASSERT_EQ(gate.admit({ ++id, "u", URGENT, now + DEADLINE, now + OBJECTIVE, "k" }, now, shed), GateVerdict::Queued);
    ASSERT_EQ(gate.admit({ ++id, "u", URGENT, now + DEADLINE, now + OBJECTIVE, "k" }, now, shed), GateVerdict::Queued);
    // With two calls ahead and a slot becoming free every 8 ms, 100 ms are enough for 50 ms of work.
    EXPECT_EQ(
        gate.admit({ ++id, "p", PATIENT, now + Millis(150), now + Millis(100), "k" }, now, shed), GateVerdict::Queued);
    EXPECT_EQ(gate.queued(), 3);
}

// Guards against a target that is twelve times slower than the others and is not recognised as slow, because few of its
// calls end, and those often at their deadline.
TEST(GateServesInTimeUnderOverload, SlowTargetIsDetectedFromCallsStillRunning)
{
    targets::GateOptions options;
    options.slots = SLOTS;
    options.coldStart = Millis(0);
    Gate gate(options, T0);
    std::optional<uint64_t> shed;
    auto call = [](uint64_t id, bool mayQueue) {
        targets::GateCall out { id, "u", URGENT, T0 + DEADLINE, T0 + OBJECTIVE, "k", mayQueue };
        out.typicalServiceTime = Millis(100);
        return out;
    };
    for (uint64_t id = 0; id < SLOTS - 1; ++id)
        ASSERT_EQ(gate.admit(call(id, false), T0, shed), GateVerdict::Run);
    EXPECT_FALSE(gate.recordElapsed("k", Millis(200))) << "twice the average is within the usual range";
    for (int elapsed = 300; elapsed <= 1200; elapsed += 100) {
        for (int i = 0; i < SLOTS - 1; ++i)
            gate.recordElapsed("k", Millis(elapsed));
    }
    EXPECT_GT(gate.serviceMs("k"), 300);
    EXPECT_EQ(gate.admit(call(30, false), T0, shed), GateVerdict::Overloaded)
        << "the call would be late at this target";
    EXPECT_EQ(gate.admit(call(31, true), T0, shed), GateVerdict::Run)
        << "the call may run here if no other target is faster";
}
