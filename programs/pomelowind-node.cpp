// pomelowind-node: the proxy beside the targets of a host. It forwards callers' calls, protects its targets from
// overload and relays configuration to its children in the fan-out tree.

#include "platform/InstanceHandler.h"
#include "platform/PlatformCallProtocol.h"
#include "pomelowind/base/Log.h"
#include "pomelowind/host/Program.h"
#include "pomelowind/node/NodeHost.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <iostream>

ABSL_FLAG(std::string, settings, "", "YAML file with the settings of this node");
ABSL_FLAG(bool, check_settings, false, "check the settings, print all problems and exit");

using namespace pomelowind;

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("pomelowind-node --settings=FILE [--check_settings]\n"
                                 "exit codes: 0 stopped by signal, 1 internal error, 2 invalid settings");
    absl::ParseCommandLine(argc, argv);
    // A check of settings ends by itself, and a signal may end it.
    auto* run = absl::GetFlag(FLAGS_check_settings) ? host::runProgram : host::runDaemon;
    return run([] {
        auto settings = node::readNodeSettings(absl::GetFlag(FLAGS_settings));
        if (absl::GetFlag(FLAGS_check_settings)) {
            std::cout << "settings are valid" << std::endl;
            return host::EXIT_OK;
        }
        node::NodeProtocols protocols;
        if (settings.protocol == "platform")
            protocols = { platform::makeCallProtocol(), platform::makeInstanceHandler };
        base::startLogging("node/" + settings.id, settings.logLevel);
        node::NodeHost host(std::move(settings), std::move(protocols));
        host::waitForStopSignal([&host] {
            return [&host, settings = node::readNodeSettings(absl::GetFlag(FLAGS_settings))] { host.reload(settings); };
        });
        host.stop();
        return host::EXIT_OK;
    });
}
