// Simulates a service that lost a third of its targets while one of 78 client accounts calls at six times its usual
// rate. Guards against accounts that ask for no more than usual being refused for the one that does, and against urgent
// kinds of calls doing worse than less urgent ones. Prints the comparison of docs/design/accounts.md.

#include "pomelowind/base/Random.h"
#include "pomelowind/targets/CallPriority.h"
#include "pomelowind/targets/Gate.h"

#include <cmath>
#include <cstdio>
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
constexpr int ACCOUNTS = 78;
constexpr int GREEDY = 2; // the third largest account, with 7% of the usual load
constexpr int GREEDY_FACTOR = 6;
constexpr int GATES = 8; // of 12
constexpr int SLOTS = 6;
constexpr double USUAL_UTILIZATION = 0.6; // of the 12 gates
constexpr double MEAN_WORK_MS = 100;
constexpr Millis OBJECTIVE(600);
constexpr Millis DEADLINE(2000);
constexpr auto DURATION = Millis(10000);
constexpr int URGENT = 9; // priorities of the two routes
constexpr int PATIENT = 6;

struct Scheme {
    const char* name;
    bool byPriority;
    bool byTurns;
};

struct Tally {
    double offered { 0 };
    double inTime { 0 };
    double share() const { return offered > 0 ? inTime / offered : 1; }
};

class Simulation {
public:
    Simulation(uint64_t seed, Scheme scheme)
        : m_random(seed)
        , m_scheme(scheme)
    {
        targets::GateOptions options;
        options.slots = SLOTS;
        options.coldStart = Millis(0);
        m_gates.assign(GATES, Gate(options, T0));
        std::vector<double> cumulative;
        double sum = 0;
        for (int i = 0; i < ACCOUNTS; ++i)
            cumulative.push_back(sum += 1.0 / (i + 1) * (i == GREEDY ? GREEDY_FACTOR : 1));
        double usual = sum - (GREEDY_FACTOR - 1) / (GREEDY + 1.0);
        double perMs = 12 * SLOTS * USUAL_UTILIZATION / MEAN_WORK_MS * sum / usual;
        double next = 0;
        for (int ms = 0; ms < DURATION.count(); ++ms) {
            auto now = T0 + Millis(ms);
            for (; next <= ms; next -= std::log(1 - m_random.uniformReal()) / perMs) {
                auto at = std::lower_bound(cumulative.begin(), cumulative.end(), m_random.uniformReal() * sum);
                arrive(static_cast<int>(at - cumulative.begin()), now);
            }
            advance(now);
        }
    }

    std::vector<Tally> byAccount = std::vector<Tally>(ACCOUNTS);
    std::map<int, Tally> byRoute; // by priority

private:
    struct Call {
        int account;
        int route;
        Instant at;
        Millis work;
        int gate;
    };

    // Every third account is urgent, so that both priorities have small and large accounts.
    static int accountPriority(int account) { return account % 3 == 0 ? 9 : 8; }

    void arrive(int account, Instant now)
    {
        uint64_t id = m_calls.size();
        auto work = std::max(1.0, -MEAN_WORK_MS * std::log(1 - m_random.uniformReal()));
        m_calls.push_back(
            { account, m_random.bernoulli(0.3) ? URGENT : PATIENT, now, Millis(static_cast<int64_t>(work)), 0 });
        auto& it = m_calls.back();
        byAccount[static_cast<size_t>(account)].offered += 1;
        byRoute[it.route].offered += 1;
        targets::GateCall call { id, m_scheme.byTurns ? "a" + std::to_string(account) : "all",
            m_scheme.byPriority ? targets::combinePriorities(accountPriority(account), it.route) : 5, now + DEADLINE,
            now + OBJECTIVE, "k" };
        call.hasClientAccount = m_scheme.byTurns;
        // As callers' nodes do: two attempts to find a free slot, and then one that may wait.
        for (int attempt = 0; attempt < 3; ++attempt) {
            it.gate = static_cast<int>(m_random.uniformBelow(GATES));
            call.mayQueue = attempt == 2;
            std::optional<uint64_t> shed;
            auto verdict = m_gates[static_cast<size_t>(it.gate)].admit(call, now, shed);
            if (verdict == GateVerdict::Run)
                m_running.push({ now + it.work, id });
            if (verdict != GateVerdict::Overloaded)
                return;
        }
    }

    void advance(Instant now)
    {
        for (auto& it : m_gates)
            start(it.sweep(now), now);
        while (!m_running.empty() && m_running.top().first <= now) {
            const auto& it = m_calls[m_running.top().second];
            m_running.pop();
            bool inTime = now - it.at <= OBJECTIVE;
            byAccount[static_cast<size_t>(it.account)].inTime += inTime;
            byRoute[it.route].inTime += inTime;
            start(m_gates[static_cast<size_t>(it.gate)].finished("k", it.work, now), now);
        }
    }

    void start(const targets::GateStep& step, Instant now)
    {
        for (uint64_t id : step.run)
            m_running.push({ now + m_calls[id].work, id });
    }

    using Completion = std::pair<Instant, uint64_t>;
    base::Random m_random;
    Scheme m_scheme;
    std::vector<Gate> m_gates;
    std::vector<Call> m_calls;
    std::priority_queue<Completion, std::vector<Completion>, std::greater<>> m_running;
};

struct Result {
    double greedy, others, worst, urgent, patient, urgentAccounts;
};

// Returns the shares of calls in time over some seeds. `worst` is the least of an account that asks for its usual rate.
Result simulate(const Scheme& scheme)
{
    std::vector<Tally> accounts(ACCOUNTS);
    std::map<int, Tally> routes;
    auto add = [](Tally& to, const Tally& from) {
        to.offered += from.offered;
        to.inTime += from.inTime;
    };
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        Simulation run(seed, scheme);
        for (size_t i = 0; i < ACCOUNTS; ++i)
            add(accounts[i], run.byAccount[i]);
        for (const auto& [route, it] : run.byRoute)
            add(routes[route], it);
    }
    Tally others, urgentAccounts;
    double worst = 1;
    for (int i = 0; i < ACCOUNTS; ++i) {
        if (i == GREEDY)
            continue;
        const auto& it = accounts[static_cast<size_t>(i)];
        add(others, it);
        if (i % 3 == 0)
            add(urgentAccounts, it);
        worst = std::min(worst, it.share());
    }
    Result out { accounts[GREEDY].share(), others.share(), worst, routes[URGENT].share(), routes[PATIENT].share(),
        urgentAccounts.share() };
    std::printf("%-20s greedy %.3f  others %.3f  worst %.3f  urgent accounts %.3f  urgent route %.3f  patient route "
                "%.3f\n",
        scheme.name, out.greedy, out.others, out.worst, out.urgentAccounts, out.urgent, out.patient);
    return out;
}

}

TEST(AccountsTakeTurnsAtTheGate, WhileOneCallsAtSixTimesItsRateAndAThirdOfTheSlotsIsLost)
{
    auto firstCome = simulate({ "first come", false, false });
    auto priority = simulate({ "priority alone", true, false });
    auto turns = simulate({ "turns alone", false, true });
    auto both = simulate({ "priority, then turns", true, true });
    EXPECT_GT(both.others, firstCome.others);
    EXPECT_GT(both.others, priority.others);
    EXPECT_GT(turns.worst, firstCome.worst);
    EXPECT_GT(both.urgentAccounts, turns.urgentAccounts);
    EXPECT_GE(both.urgent, both.patient) << "an urgent kind of call does no worse than a less urgent one";
}

TEST(AccountsTakeTurnsAtTheGate, TheQueueOfOneAccountIsNoReasonToRefuseAnother)
{
    targets::GateOptions options;
    options.slots = 1;
    options.coldStart = Millis(0);
    Gate gate(options, T0);
    std::optional<uint64_t> shed;
    auto call = [](uint64_t id, const std::string& account) {
        targets::GateCall out { id, account, 5, T0 + Millis(1000), T0 + Millis(250), "k" };
        out.typicalServiceTime = Millis(100);
        out.hasClientAccount = true;
        return out;
    };
    for (uint64_t id = 1; id <= 8; ++id) {
        if (gate.admit(call(id, "greedy"), T0, shed) == GateVerdict::Run)
            continue;
    }
    ASSERT_GT(gate.queued(), 0);
    EXPECT_EQ(gate.admit(call(9, "modest"), T0, shed), GateVerdict::Queued);
    EXPECT_EQ(gate.finished("k", Millis(100), T0 + Millis(100)).run, std::vector<uint64_t> { 9 });
}

TEST(AccountsTakeTurnsAtTheGate, AFullQueueShedsTheAccountWithMostQueuedCalls)
{
    targets::GateOptions options;
    options.slots = 1;
    options.queuePerSlot = 4;
    options.coldStart = Millis(0);
    Gate gate(options, T0);
    std::optional<uint64_t> shed;
    auto call = [](uint64_t id, const std::string& account, int priority) {
        return targets::GateCall { id, account, priority, T0 + Millis(100000) };
    };
    int p = targets::combinePriorities(8, 9);
    gate.admit(call(1, "x", p), T0, shed);
    gate.admit(call(2, "small", p), T0, shed);
    for (uint64_t id = 3; id <= 5; ++id)
        gate.admit(call(id, "large", p), T0, shed);
    EXPECT_EQ(gate.admit(call(6, "new", p), T0, shed), GateVerdict::Queued);
    EXPECT_EQ(shed, 5u) << "the newest call of the account with most";
    shed.reset();
    EXPECT_EQ(gate.admit(call(7, "new", targets::combinePriorities(7, 9)), T0, shed), GateVerdict::Overloaded)
        << "an account of lower priority displaces none";
}

TEST(AccountsTakeTurnsAtTheGate, AccountsComeBeforeRoutesAndLateCallsBehindAll)
{
    targets::GateOptions options;
    options.slots = 1;
    options.queuePerSlot = 10;
    options.coldStart = Millis(0);
    Gate gate(options, T0);
    std::optional<uint64_t> shed;
    auto admit = [&](uint64_t id, int account, int route, bool isLate) {
        targets::GateCall call { id, std::to_string(id), targets::combinePriorities(account, route),
            T0 + Millis(100000) };
        if (isLate)
            call.objective = T0;
        gate.admit(call, T0, shed);
    };
    admit(1, 0, 0, false);
    admit(2, 9, 9, true);
    admit(3, 0, 9, false);
    admit(4, 9, 0, false);
    admit(5, 9, 9, false);
    admit(6, 0, 0, false);
    std::vector<uint64_t> order;
    for (int i = 0; i < 5; ++i) {
        for (auto id : gate.finished("", Millis(1), T0).run)
            order.push_back(id);
    }
    EXPECT_EQ(order, (std::vector<uint64_t> { 5, 4, 3, 6, 2 }));
}
