// pomelowind-fault-proxy: a TCP proxy that injects faults for tests: it cuts, holds or delays connections.

#include "pomelowind/base/EventLoopThread.h"
#include "pomelowind/base/Log.h"
#include "pomelowind/host/Metrics.h"
#include "pomelowind/host/Program.h"
#include "standins/FaultProxy.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <iostream>

ABSL_FLAG(std::string, settings, "", "YAML file with the settings of this proxy");
ABSL_FLAG(bool, check_settings, false, "check the settings, print all problems and exit");

using namespace pomelowind;

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("pomelowind-fault-proxy --settings=FILE [--check_settings]\n"
                                 "exit codes: 0 stopped by signal, 1 internal error, 2 invalid settings");
    absl::ParseCommandLine(argc, argv);
    // A check of settings ends by itself, and a signal may end it.
    auto* run = absl::GetFlag(FLAGS_check_settings) ? host::runProgram : host::runDaemon;
    return run([] {
        auto reader = base::SettingsReader::fromFile(absl::GetFlag(FLAGS_settings));
        auto adminAddress = reader.address("admin_address");
        auto metricsAddress = reader.address("metrics_address");
        std::vector<standins::ProxyLink> links;
        for (auto& it : reader.mappings("links")) {
            links.push_back({ it.text("name"), it.address("listen"), it.address("forward") });
            it.checkUnknownKeys();
        }
        reader.finish();
        if (absl::GetFlag(FLAGS_check_settings)) {
            std::cout << "settings are valid" << std::endl;
            return host::EXIT_OK;
        }
        base::startLogging("fault-proxy", "info");
        auto metrics = host::serveMetrics(metricsAddress);
        base::EventLoopThread eventLoop("proxy");
        standins::FaultProxy proxy(eventLoop.context(), links);
        auto server = http::makeHttpServer(eventLoop.context(), adminAddress, {}, proxy);
        eventLoop.start();
        host::waitForStopSignal();
        eventLoop.stop();
        return host::EXIT_OK;
    });
}
