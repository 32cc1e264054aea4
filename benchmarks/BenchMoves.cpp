// Benchmark of moves: runs seeded scenarios of both deployments with the control plane's planner and with two baseline
// rollout strategies.

#include "benchmarks/BenchOutput.h"
#include "benchmarks/MoveModel.h"

#include <functional>
#include <map>

namespace pomelowind::bench {

namespace {

    using nlohmann::json;

    Scenario drawScenario(base::Random& random)
    {
        struct Size {
            double callsPerSecond;
            int targets;
            int slots;
        };
        // Of the services finder-app, certs-svc, pedidos and taller, in this order.
        constexpr Size SIZES[] = { { 500, 8, 12 }, { 5, 4, 12 }, { 200, 8, 6 }, { 2, 4, 6 } };
        const auto& size = SIZES[random.uniformBelow(4)];
        Scenario out;
        out.callsPerSecond = size.callsPerSecond;
        out.targets = size.targets;
        out.slots = size.slots;
        out.deadlineMs = 30000 + static_cast<int64_t>(random.uniformBelow(150000));
        out.watchMs = 5000;
        out.fault = random.bernoulli(0.5) ? VersionFault::None
                                          : static_cast<VersionFault>(1 + random.uniformBelow(FAULT_KINDS - 1));
        out.dataCentreOutage = random.bernoulli(0.25);
        out.hostFailure = random.bernoulli(0.15);
        return out;
    }

    // Totals of one strategy over all scenarios.
    struct StrategyTotals {
        int good { 0 };
        int goodOnTime { 0 };
        int falseRollbacks { 0 };
        int bad { 0 };
        int badRolledBack { 0 };
        int64_t harmed { 0 };
        int64_t calls { 0 };
        int64_t callsOverGrant { 0 };
        std::vector<double> harmedCalls;
        std::vector<double> rollbackTimesMs;
        // Rollback times at the traffic of finder-app, for versions whose fault is constant over time.
        std::vector<double> rollbackTimesBusyMs;
        std::map<std::string, std::pair<int, int>> byKind;
    };

    void addResult(StrategyTotals& totals, const Scenario& scenario, const MoveResult& result)
    {
        totals.callsOverGrant += result.callsOverGrant;
        if (scenario.fault == VersionFault::None) {
            ++totals.good;
            totals.goodOnTime += result.onTime ? 1 : 0;
            totals.falseRollbacks += result.rolledBack ? 1 : 0;
            return;
        }
        ++totals.bad;
        totals.badRolledBack += result.rolledBack ? 1 : 0;
        totals.harmed += result.harmedCalls;
        totals.calls += result.totalCalls;
        totals.harmedCalls.push_back(static_cast<double>(result.harmedCalls));
        if (result.rollbackMs >= 0)
            totals.rollbackTimesMs.push_back(static_cast<double>(result.rollbackMs));
        bool isConstantFault = scenario.fault == VersionFault::Fails || scenario.fault == VersionFault::Slow;
        if (result.rollbackMs >= 0 && scenario.callsPerSecond >= 500 && isConstantFault)
            totals.rollbackTimesBusyMs.push_back(static_cast<double>(result.rollbackMs));
        std::string kind
            = std::string(faultName(scenario.fault)) + (scenario.callsPerSecond < 10 ? "_low_traffic" : "");
        auto& [all, rolledBack] = totals.byKind[kind];
        ++all;
        rolledBack += result.rolledBack ? 1 : 0;
    }

    json report(const StrategyTotals& it)
    {
        json kinds = json::object();
        for (const auto& [kind, counts] : it.byKind)
            kinds[kind] = { { "bad", counts.first }, { "taken_back", counts.second } };
        double harmedShare = it.calls ? static_cast<double>(it.harmed) / static_cast<double>(it.calls) : 0;
        return { { "good", it.good }, { "good_on_time", it.goodOnTime }, { "bad", it.bad },
            { "bad_taken_back", it.badRolledBack }, { "false_take_backs", it.falseRollbacks },
            { "harmed_share", harmedShare }, { "harmed_calls_p50", quantile(it.harmedCalls, 0.5) },
            { "harmed_calls_p99", quantile(it.harmedCalls, 0.99) },
            { "to_zero_p50", quantile(it.rollbackTimesMs, 0.5) }, { "to_zero_p99", quantile(it.rollbackTimesMs, 0.99) },
            { "to_zero_busy_p50", quantile(it.rollbackTimesBusyMs, 0.5) },
            { "to_zero_busy_p99", quantile(it.rollbackTimesBusyMs, 0.99) }, { "over_granted", it.callsOverGrant },
            { "by_kind", kinds } };
    }

}

int benchMoves(const BenchOptions& options)
{
    auto started = std::chrono::steady_clock::now();
    StrategyTotals planned;
    StrategyTotals fixedSteps;
    StrategyTotals blueGreen;
    int runs = options.quick ? std::min(options.runs, 120) : options.runs;
    for (int i = 0; i < runs; ++i) {
        base::Random random(options.seed * 1000003 + static_cast<uint64_t>(i));
        auto scenario = drawScenario(random);
        uint64_t seed = random.next();
        addResult(planned, scenario, MoveModel(scenario, seed).runPlanned());
        addResult(fixedSteps, scenario, MoveModel(scenario, seed).runFixedSteps());
        addResult(blueGreen, scenario, MoveModel(scenario, seed).runBlueGreen());
        if (i % 100 == 99)
            printProgress(std::to_string(i + 1) + " of " + std::to_string(runs) + " scenarios");
    }
    json fields = report(planned);
    fields["runs"] = runs;
    fields["fixed_steps"] = report(fixedSteps);
    fields["blue_green"] = report(blueGreen);
    return printResult("moves", options, started, fields, { "over_granted" });
}

} // namespace pomelowind::bench
