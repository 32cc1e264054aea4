// pomelowind-target: a simulated target for tests, benchmarks and the quickstart.

#include "pomelowind/base/EventLoopThread.h"
#include "pomelowind/base/Log.h"
#include "pomelowind/host/Metrics.h"
#include "pomelowind/host/Program.h"
#include "standins/Target.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/post.hpp>
#include <future>
#include <iostream>

ABSL_FLAG(std::string, settings, "", "YAML file with the settings of this target");
ABSL_FLAG(bool, check_settings, false, "check the settings, print all problems and exit");
ABSL_FLAG(uint64_t, seed, 1, "random seed of service times and failures");

using namespace pomelowind;

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "pomelowind-target --settings=FILE [--check_settings] [--seed=N]\n"
        "exit codes: 0 stopped by signal, 1 internal error or injected crash, 2 invalid settings");
    absl::ParseCommandLine(argc, argv);
    // A check of settings ends by itself, and a signal may end it.
    auto* run = absl::GetFlag(FLAGS_check_settings) ? host::runProgram : host::runDaemon;
    return run([] {
        auto settings = standins::readTargetSettings(absl::GetFlag(FLAGS_settings));
        if (absl::GetFlag(FLAGS_check_settings)) {
            std::cout << "settings are valid" << std::endl;
            return host::EXIT_OK;
        }
        base::startLogging("target/" + settings.id, settings.logLevel);
        auto metrics = host::serveMetrics(settings.metricsAddress);
        base::EventLoopThread eventLoop("target");
        standins::Target target(eventLoop.context(), std::move(settings), absl::GetFlag(FLAGS_seed));
        target.startAnnouncing();
        eventLoop.start();
        host::waitForStopSignal();
        std::promise<void> drained;
        boost::asio::post(eventLoop.context(), [&] { target.drain([&] { drained.set_value(); }); });
        drained.get_future().wait_for(std::chrono::seconds(30));
        eventLoop.stop();
        return host::EXIT_OK;
    });
}
