// pomelowind-control: a control host. It replicates the configuration log with its peers and publishes the
// configuration to nodes.

#include "platform/OperatorHandler.h"
#include "pomelowind/base/Log.h"
#include "pomelowind/control/ControlHost.h"
#include "pomelowind/host/Program.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <iostream>

ABSL_FLAG(std::string, settings, "", "YAML file with the settings of this control host");
ABSL_FLAG(bool, check_settings, false, "check the settings, print all problems and exit");
ABSL_FLAG(bool, bootstrap, false,
    "first start of a new mesh: a host with an empty data folder may vote at once. Never use it after losing a disk");

using namespace pomelowind;

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "pomelowind-control --settings=FILE [--bootstrap] [--check_settings]\n"
        "exit codes: 0 stopped by signal, 1 internal error, 2 invalid settings or damaged storage");
    absl::ParseCommandLine(argc, argv);
    // A check of settings ends by itself, and a signal may end it.
    auto* run = absl::GetFlag(FLAGS_check_settings) ? host::runProgram : host::runDaemon;
    return run([] {
        auto settings = control::readControlSettings(absl::GetFlag(FLAGS_settings));
        if (absl::GetFlag(FLAGS_check_settings)) {
            std::cout << "settings are valid" << std::endl;
            return host::EXIT_OK;
        }
        base::startLogging("control/" + settings.id, settings.logLevel);
        bool firstStart = settings.firstStart || absl::GetFlag(FLAGS_bootstrap);
        auto emptyFolderMode = firstStart ? members::EmptyFolderMode::Bootstrap : members::EmptyFolderMode::Recover;
        operators::OperatorHandlerFactory operatorHandlerFactory;
        if (settings.protocol == "platform")
            operatorHandlerFactory = [share = settings.exposureShare](operators::ControlBackend& backend) {
                return platform::makeOperatorHandler(backend, share);
            };
        control::ControlHost host(std::move(settings), emptyFolderMode, operatorHandlerFactory);
        host::waitForStopSignal([&host] {
            return [&host, settings = control::readControlSettings(absl::GetFlag(FLAGS_settings))] {
                host.reload(settings);
            };
        });
        host.stop();
        return host::EXIT_OK;
    });
}
