#include "benchmarks/BenchOutput.h"

#include <algorithm>
#include <iostream>

namespace pomelowind::bench {

nlohmann::json quantile(std::vector<double> values, double q)
{
    if (values.empty())
        return nullptr;
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<size_t>(q * static_cast<double>(values.size())))];
}

void printProgress(const std::string& text) { std::cout << text << std::endl; }

int printResult(const std::string& bench, const BenchOptions& options, base::Instant started, nlohmann::json fields,
    const std::vector<std::string>& mustBeZero)
{
    fields["bench"] = bench;
    fields["commit"] = options.commit;
    fields["seed"] = options.seed;
    fields["seconds"] = std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
    std::cout << fields.dump() << std::endl;
    bool hasViolation
        = std::any_of(mustBeZero.begin(), mustBeZero.end(), [&](const std::string& it) { return fields[it] != 0; });
    return hasViolation ? 1 : 0;
}

} // namespace pomelowind::bench
