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
        const auto& size = SIZES[random.below(4)];
        Scenario out;
        out.callsPerSecond = size.callsPerSecond;
        out.targets = size.targets;
        out.slots = size.slots;
        out.deadlineMs = 30000 + static_cast<int64_t>(random.below(150000));
        out.watchMs = 5000;
        out.badness = random.chance(0.5) ? Badness::None : static_cast<Badness>(1 + random.below(BADNESS_KINDS - 1));
        out.platformDip = random.chance(0.25);
        out.hostLoss = random.chance(0.15);
        return out;
    }

    // Totals of one strategy over all scenarios.
    struct Tally {
        int good { 0 };
        int goodOnTime { 0 };
        int falseTakeBacks { 0 };
        int bad { 0 };
        int badTakenBack { 0 };
        int64_t harmed { 0 };
        int64_t calls { 0 };
        int64_t overGranted { 0 };
        std::vector<double> harmedCalls;
        std::vector<double> toZero;
        std::vector<double> toZeroBusy; // at the traffic of finder-app, for faults that are constant over time
        std::map<std::string, std::pair<int, int>> byKind;
    };

    void count(Tally& tally, const Scenario& scenario, const MoveResult& result)
    {
        tally.overGranted += result.overGranted;
        if (scenario.badness == Badness::None) {
            ++tally.good;
            tally.goodOnTime += result.onTime ? 1 : 0;
            tally.falseTakeBacks += result.takenBack ? 1 : 0;
            return;
        }
        ++tally.bad;
        tally.badTakenBack += result.takenBack ? 1 : 0;
        tally.harmed += result.harmedCalls;
        tally.calls += result.totalCalls;
        tally.harmedCalls.push_back(static_cast<double>(result.harmedCalls));
        if (result.toZeroMs >= 0)
            tally.toZero.push_back(static_cast<double>(result.toZeroMs));
        bool isSteady = scenario.badness == Badness::Fails || scenario.badness == Badness::Slow;
        if (result.toZeroMs >= 0 && scenario.callsPerSecond >= 500 && isSteady)
            tally.toZeroBusy.push_back(static_cast<double>(result.toZeroMs));
        std::string kind
            = std::string(badnessName(scenario.badness)) + (scenario.callsPerSecond < 10 ? "_low_traffic" : "");
        auto& [all, back] = tally.byKind[kind];
        ++all;
        back += result.takenBack ? 1 : 0;
    }

    json report(const Tally& it)
    {
        json kinds = json::object();
        for (const auto& [kind, counts] : it.byKind)
            kinds[kind] = { { "bad", counts.first }, { "taken_back", counts.second } };
        double harmedShare = it.calls ? static_cast<double>(it.harmed) / static_cast<double>(it.calls) : 0;
        return { { "good", it.good }, { "good_on_time", it.goodOnTime }, { "bad", it.bad },
            { "bad_taken_back", it.badTakenBack }, { "false_take_backs", it.falseTakeBacks },
            { "harmed_share", harmedShare }, { "harmed_calls_p50", quantile(it.harmedCalls, 0.5) },
            { "harmed_calls_p99", quantile(it.harmedCalls, 0.99) }, { "to_zero_p50", quantile(it.toZero, 0.5) },
            { "to_zero_p99", quantile(it.toZero, 0.99) }, { "to_zero_busy_p50", quantile(it.toZeroBusy, 0.5) },
            { "to_zero_busy_p99", quantile(it.toZeroBusy, 0.99) }, { "over_granted", it.overGranted },
            { "by_kind", kinds } };
    }

}

int benchMoves(const BenchOptions& options)
{
    auto began = std::chrono::steady_clock::now();
    Tally planned;
    Tally fixedSteps;
    Tally blueGreen;
    int runs = options.quick ? std::min(options.runs, 120) : options.runs;
    for (int i = 0; i < runs; ++i) {
        base::Random random(options.seed * 1000003 + static_cast<uint64_t>(i));
        auto scenario = drawScenario(random);
        uint64_t seed = random.next();
        count(planned, scenario, MoveModel(scenario, seed).runPlanned());
        count(fixedSteps, scenario, MoveModel(scenario, seed).runFixedSteps());
        count(blueGreen, scenario, MoveModel(scenario, seed).runBlueGreen());
        if (i % 100 == 99)
            say(std::to_string(i + 1) + " of " + std::to_string(runs) + " scenarios");
    }
    json fields = report(planned);
    fields["runs"] = runs;
    fields["fixed_steps"] = report(fixedSteps);
    fields["blue_green"] = report(blueGreen);
    return finish("moves", options, began, fields, { "over_granted" });
}

} // namespace pomelowind::bench
