// Runs the soak of planned stops, starts and signals (benchmarks/SoakRun.h) for one seed or several.

#include "benchmarks/BenchOutput.h"
#include "benchmarks/SoakRun.h"
#include "pomelowind/host/Program.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(uint64_t, seed, 1, "seed of the first run");
ABSL_FLAG(int, runs, 1, "number of runs, each with the next seed");
ABSL_FLAG(int, nodes, 5, "number of nodes");
ABSL_FLAG(int, callers, 6, "number of callers for each node");
ABSL_FLAG(int, acts, 3, "pieces of planned work for each process");
ABSL_FLAG(std::string, commit, "", "commit to print in the result");

using namespace pomelowind;

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("soak --seed=N [--runs=N] [--nodes=N] [--callers=N] [--acts=N]\n"
                                 "exit codes: 0 no violation, 1 at least one violation");
    absl::ParseCommandLine(argc, argv);
    return host::runProgram([] {
        int code = 0;
        for (int i = 0; i < absl::GetFlag(FLAGS_runs); ++i) {
            auto began = std::chrono::steady_clock::now();
            bench::SoakOptions soak;
            soak.seed = absl::GetFlag(FLAGS_seed) + static_cast<uint64_t>(i);
            soak.nodes = absl::GetFlag(FLAGS_nodes);
            soak.callersPerNode = absl::GetFlag(FLAGS_callers);
            soak.acts = absl::GetFlag(FLAGS_acts);
            auto report = bench::runSoak(soak);
            bench::BenchOptions options;
            options.seed = soak.seed;
            options.commit = absl::GetFlag(FLAGS_commit);
            code |= bench::printResult("soak", options, began,
                { { "nodes", soak.nodes }, { "counts", report.counts }, { "violations", report.violations.size() },
                    { "folder", report.folder } },
                { "violations" });
        }
        return code;
    });
}
