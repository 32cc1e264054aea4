// Measures the limits of client accounts over all nodes: runs the same calls through the scheme that is built and
// through others, and shows how far each exceeds the bound and how many calls within the limit it refuses.

#include "benchmarks/BenchOutput.h"
#include "benchmarks/QuotaModel.h"

#include <algorithm>
#include <cstdio>

namespace pomelowind::bench {

namespace {

    using nlohmann::json;

    constexpr double PERCENT = 100;

    struct Totals {
        double mostOfBound { 0 };
        int over { 0 };
        int runs { 0 };
        int64_t refusedWithin { 0 };
        int64_t offeredWithin { 0 };
        int64_t served { 0 };
        int64_t perfectServed { 0 };
        double bytes { 0 };

        void add(const QuotaResult& it)
        {
            mostOfBound = std::max(mostOfBound, it.mostOfBound);
            over += it.mostOfBound > 1 ? 1 : 0;
            ++runs;
            refusedWithin += it.refusedWithin;
            offeredWithin += it.offeredWithin;
            served += it.served;
            perfectServed += it.perfectServed;
            bytes += it.bytesPerNodeSecond;
        }

        double refusedPercent() const
        {
            return PERCENT * static_cast<double>(refusedWithin)
                / static_cast<double>(std::max<int64_t>(1, offeredWithin));
        }
    };

    Totals runAll(int nodes, QuotaEvent event, QuotaScheme scheme, const BenchOptions& options, int seeds)
    {
        Totals out;
        for (int i = 0; i < seeds; ++i) {
            QuotaRun run;
            run.nodes = nodes;
            run.event = event;
            run.scheme = scheme;
            run.seed = options.seed + static_cast<uint64_t>(i);
            out.add(runQuotaModel(run));
        }
        return out;
    }

}

nlohmann::json measureQuotas(const BenchOptions& options)
{
    json rows = json::array();
    int over = 0;
    printProgress("nodes event           scheme           of bound  over     refused within  served of perfect  B/s");
    for (int nodes : { 77, 576 }) {
        int seeds = options.quick ? 2 : nodes > 100 ? 4 : 16;
        for (auto event : QUOTA_EVENTS) {
            for (auto scheme : QUOTA_SCHEMES) {
                auto totals = runAll(nodes, event, scheme, options, seeds);
                double ofPerfect = static_cast<double>(totals.served)
                    / static_cast<double>(std::max<int64_t>(1, totals.perfectServed));
                char line[160];
                std::snprintf(line, sizeof line, "%5d %-15s %-15s %9.3f %3d/%-3d %13.3f%% %17.3f %6.0f", nodes,
                    quotaEventName(event), quotaSchemeName(scheme), totals.mostOfBound, totals.over, totals.runs,
                    totals.refusedPercent(), ofPerfect, totals.bytes / totals.runs);
                printProgress(line);
                over += scheme == QuotaScheme::Ratios ? totals.over : 0;
                rows.push_back(
                    { { "nodes", nodes }, { "event", quotaEventName(event) }, { "scheme", quotaSchemeName(scheme) },
                        { "most_of_bound", totals.mostOfBound }, { "runs_over_bound", totals.over },
                        { "runs", totals.runs }, { "refused_within_limit_percent", totals.refusedPercent() },
                        { "served_of_perfect", ofPerfect }, { "bytes_per_node_second", totals.bytes / totals.runs } });
            }
        }
    }
    return { { "rows", rows }, { "ratios_over_bound", over } };
}

} // namespace pomelowind::bench
