// The last line of a benchmark: one JSON object with the common fields.
#pragma once

#include "pomelowind/base/Time.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace pomelowind::bench {

// What every benchmark is run with.
struct BenchOptions {
    uint64_t seed { 1 };
    bool quick { false };
    int nodes { 50 };
    int runs { 400 };
    std::string commit;
};

// Value at quantile `q` of `values`; null when there are none.
nlohmann::json quantile(std::vector<double> values, double q);

// Prints progress for a person.
void say(const std::string& text);

// Prints the last line and returns the exit code: 1 when one of `mustBeZero` is not 0.
int finish(const std::string& bench, const BenchOptions& options, base::Instant began, nlohmann::json fields,
    const std::vector<std::string>& mustBeZero);

// The benchmarks; each prints its result and returns the exit code.
int benchConvergence(const BenchOptions& options);
int benchRestartStorm(const BenchOptions& options);
int benchFailover(const BenchOptions& options);
int benchAddedLatency(const BenchOptions& options);
int benchOverload(const BenchOptions& options);
int benchClaims(const BenchOptions& options);
int benchDrain(const BenchOptions& options);
int benchMoves(const BenchOptions& options);

} // namespace pomelowind::bench
