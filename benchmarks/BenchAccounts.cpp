// Measures client accounts: the look-up of keys, its memory, and the size of a change.

#include "benchmarks/BenchOutput.h"
#include "pomelowind/base/Hash.h"
#include "pomelowind/base/Random.h"
#include "pomelowind/callers/AccountKeys.h"

#include <chrono>
#include <fstream>
#include <unistd.h>

namespace pomelowind::bench {

namespace {

    using nlohmann::json;
    using Clock = std::chrono::steady_clock;

    constexpr int ACCOUNTS = 100000; // with one key each
    constexpr int LOOKUPS = 200000;
    constexpr double BYTES_PER_MIB = 1024 * 1024;

    std::string keyOf(int account) { return "key-0123456789abcdef-" + std::to_string(account); }

    wire::Resource account(int i, const std::string& key)
    {
        wire::ClientAccount content;
        content.name = "account-" + std::to_string(i);
        content.keyDigests = { base::sha256(key) };
        content.priority = 8;
        content.ratePerSecond = content.burst = 337;
        wire::Resource out;
        out.key = config::clientKey(content.name);
        out.__set_clientAccount(content);
        return out;
    }

    double secondsSince(Clock::time_point start) { return std::chrono::duration<double>(Clock::now() - start).count(); }

    // Resident memory of this process.
    double residentMib()
    {
        size_t total = 0, resident = 0;
        std::ifstream("/proc/self/statm") >> total >> resident;
        return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / BYTES_PER_MIB;
    }

    json measureKeys(uint64_t seed)
    {
        std::vector<wire::Resource> all;
        for (int i = 0; i < ACCOUNTS; ++i)
            all.push_back(account(i, keyOf(i)));
        double before = residentMib();
        config::ConfigState state;
        state.applyChange(std::move(all), {});
        double afterState = residentMib();
        auto start = Clock::now();
        auto index = callers::AccountKeys::build(state);
        double buildMs = secondsSince(start) * 1000;
        double afterIndex = residentMib();

        base::Random random(seed);
        std::vector<std::string> keys;
        for (int i = 0; i < LOOKUPS; ++i)
            keys.push_back(keyOf(static_cast<int>(random.uniformBelow(2 * ACCOUNTS)))); // half of them unknown
        size_t found = 0;
        start = Clock::now();
        for (const auto& it : keys)
            found += index->find(it) ? 1 : 0;
        double lookupNs = secondsSince(start) / LOOKUPS * 1e9;

        auto old = state;
        state.applyChange({ account(7, "another key") }, {});
        auto delta = state.deltaSince(old.version());
        start = Clock::now();
        callers::AccountKeys::update(index, delta, old, state);
        double updateMs = secondsSince(start) * 1000;
        auto whole = base::encode(state.deltaSince(0));
        return { { "accounts", ACCOUNTS }, { "lookup_ns", lookupNs }, { "known_share", found * 1.0 / LOOKUPS },
            { "build_ms", buildMs }, { "update_ms", updateMs }, { "state_mib", afterState - before },
            { "index_mib", afterIndex - afterState }, { "changed_key_bytes", base::encode(delta).size() },
            { "whole_state_bytes", whole.size() } };
    }

}

int benchAccounts(const BenchOptions& options)
{
    auto started = base::SystemClock().now();
    auto quotas = measureQuotas(options);
    json fields = { { "keys", measureKeys(options.seed) }, { "ratios_over_bound", quotas["ratios_over_bound"] },
        { "quotas", quotas["rows"] } };
    return printResult("accounts", options, started, fields, { "ratios_over_bound" });
}

} // namespace pomelowind::bench
