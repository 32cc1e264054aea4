// Runs one benchmark; started by tools/bench. The last line of its output is one JSON object.

#include "benchmarks/BenchOutput.h"
#include "pomelowind/base/Errors.h"
#include "pomelowind/base/Log.h"
#include "pomelowind/host/Program.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <functional>
#include <map>

ABSL_FLAG(uint64_t, seed, 1, "seed of the random choices");
ABSL_FLAG(bool, quick, false, "run for less than 50 s; prints the same fields");
ABSL_FLAG(int, nodes, 50, "number of nodes of convergence and restart-storm");
ABSL_FLAG(int, runs, 2000, "number of scenarios of moves");
ABSL_FLAG(std::string, commit, "", "commit to print in the result");

using namespace pomelowind;

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "bench-pomelowind convergence|restart-storm|failover|added-latency|overload|claims|drain|moves|accounts");
    auto words = absl::ParseCommandLine(argc, argv);
    return host::runProgram([&] {
        static const std::map<std::string, std::function<int(const bench::BenchOptions&)>> BENCHES
            = { { "convergence", bench::benchConvergence }, { "restart-storm", bench::benchRestartStorm },
                  { "failover", bench::benchFailover }, { "added-latency", bench::benchAddedLatency },
                  { "overload", bench::benchOverload }, { "claims", bench::benchClaims },
                  { "drain", bench::benchDrain }, { "moves", bench::benchMoves },
                  { "accounts", bench::benchAccounts } };
        std::string name = words.size() > 1 ? words[1] : "";
        auto it = BENCHES.find(name);
        if (it == BENCHES.end())
            throw base::UserError(base::ErrorKind::InvalidInput, "unknown benchmark '" + name + "'",
                "run with --help for the list of benchmarks");
        std::signal(SIGPIPE, SIG_IGN);
        bench::BenchOptions options { absl::GetFlag(FLAGS_seed), absl::GetFlag(FLAGS_quick), absl::GetFlag(FLAGS_nodes),
            absl::GetFlag(FLAGS_runs), absl::GetFlag(FLAGS_commit) };
        return it->second(options);
    });
}
