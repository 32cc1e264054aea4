// Options and output common to all benchmarks. The last line that a benchmark prints is one JSON object.
#pragma once

#include "pomelowind/base/Time.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace pomelowind::bench {

// The command line options of a benchmark.
struct BenchOptions {
    uint64_t seed { 1 };
    bool quick { false };
    int nodes { 50 }; // of the convergence and restart-storm benchmarks
    int runs { 400 }; // scenarios of the moves benchmark
    std::string commit; // printed in the result
};

// Returns the value at quantile `q` (0 to 1) of `values`; null when there are none.
nlohmann::json quantile(std::vector<double> values, double q);

// Prints a progress line; no program reads it.
void printProgress(const std::string& text);

// Prints `fields` and the common fields as the last line. Returns the exit code: 1 when one of the fields named in
// `mustBeZero` is not 0.
int printResult(const std::string& bench, const BenchOptions& options, base::Instant started, nlohmann::json fields,
    const std::vector<std::string>& mustBeZero);

// Runs the model of limits of client accounts and prints its table. Returns the rows, and in `ratios_over_bound` how
// many runs of the scheme that is built exceeded the bound.
nlohmann::json measureQuotas(const BenchOptions& options);

// Each benchmark prints its result and returns the exit code.
int benchConvergence(const BenchOptions& options);
int benchRestartStorm(const BenchOptions& options);
int benchFailover(const BenchOptions& options);
int benchAddedLatency(const BenchOptions& options);
int benchOverload(const BenchOptions& options);
int benchClaims(const BenchOptions& options);
int benchDrain(const BenchOptions& options);
int benchMoves(const BenchOptions& options);
int benchAccounts(const BenchOptions& options);

} // namespace pomelowind::bench
