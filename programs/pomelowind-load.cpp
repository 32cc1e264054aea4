// pomelowind-load: an open-loop load generator for tests, benchmarks and the quickstart. Its last output line is a JSON
// summary.

#include "pomelowind/base/Errors.h"
#include "pomelowind/host/Metrics.h"
#include "pomelowind/host/Program.h"
#include "standins/LoadGenerator.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/io_context.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

ABSL_FLAG(std::vector<std::string>, addresses, {}, "addresses to send calls to, IP:PORT, separated by commas");
ABSL_FLAG(std::vector<std::string>, hosts, { "localhost" }, "values of the Host header; each call uses one at random");
ABSL_FLAG(std::vector<std::string>, paths, { "/" }, "paths; each call uses one at random");
ABSL_FLAG(std::string, method, "GET", "HTTP method");
ABSL_FLAG(double, rate, 100, "calls per second, from 0.1 to 100000");
ABSL_FLAG(double, seconds, 5, "duration in seconds, up to 3600");
ABSL_FLAG(bool, keyed, false, "send an Idempotency-Key with each call");
ABSL_FLAG(int, resends, 0, "maximum number of retries of a keyed call whose outcome is unknown");
ABSL_FLAG(std::string, log, "", "file to which one line per call is appended");
ABSL_FLAG(std::string, metrics_address, "", "address at which metrics are served during the run, IP:PORT");
ABSL_FLAG(uint64_t, seed, 1, "random seed");

using namespace pomelowind;

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("pomelowind-load --addresses=IP:PORT,... [--rate=N] [--seconds=S]\n"
                                 "exit codes: 0 run completed, 1 internal error, 2 invalid arguments");
    absl::ParseCommandLine(argc, argv);
    return host::runProgram([] {
        standins::LoadOptions options;
        for (const auto& it : absl::GetFlag(FLAGS_addresses))
            options.addresses.push_back(base::parseAddress(it));
        options.hosts = absl::GetFlag(FLAGS_hosts);
        options.paths = absl::GetFlag(FLAGS_paths);
        options.method = absl::GetFlag(FLAGS_method);
        options.ratePerSecond = absl::GetFlag(FLAGS_rate);
        options.seconds = absl::GetFlag(FLAGS_seconds);
        options.keyed = absl::GetFlag(FLAGS_keyed);
        options.maxResends = absl::GetFlag(FLAGS_resends);
        options.logFile = absl::GetFlag(FLAGS_log);
        if (options.addresses.empty() || options.ratePerSecond < 0.1 || options.ratePerSecond > 100000
            || options.seconds > 3600)
            throw base::UserError(base::ErrorKind::InvalidInput,
                "no --addresses given, --rate not from 0.1 to 100000, or --seconds above 3600", "see --help");
        std::unique_ptr<host::Metrics> metrics;
        if (!absl::GetFlag(FLAGS_metrics_address).empty())
            metrics = host::serveMetrics(base::parseAddress(absl::GetFlag(FLAGS_metrics_address)));
        boost::asio::io_context io;
        standins::LoadGenerator generator(io, options, absl::GetFlag(FLAGS_seed));
        generator.run([&] { io.stop(); });
        io.run();
        const auto& it = generator.summary();
        nlohmann::json out { { "sent", it.sent }, { "ok", it.ok }, { "failed", it.failed }, { "not_run", it.notRun },
            { "unknown", it.unknown }, { "lost", it.lost }, { "limited", it.rateLimited },
            { "wrong_bodies", it.wrongBodies }, { "resends", it.resends }, { "p50", it.quantile(0.5) },
            { "p99", it.quantile(0.99) }, { "p999", it.quantile(0.999) }, { "by_version", it.byVersion } };
        std::cout << out.dump() << std::endl;
        return host::EXIT_OK;
    });
}
