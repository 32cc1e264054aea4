// pomelowindctl: the command-line client for operators.

#include "pomelowind/host/Program.h"
#include "pomelowind/operators/CommandLine.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <cstdlib>

ABSL_FLAG(
    std::vector<std::string>, control, {}, "operator addresses of the control hosts, IP:PORT, separated by commas");
ABSL_FLAG(std::string, token, "", "bearer token of the operator; default: environment variable POMELOWIND_TOKEN");
ABSL_FLAG(std::string, format, "text", "output format: text or json");
ABSL_FLAG(std::string, request_id, "", "request id; generated and printed if absent. Use the same id to retry");
ABSL_FLAG(int64_t, base_version, -1, "version on which the submission is based; read from the control hosts if absent");
ABSL_FLAG(std::vector<std::string>, param, {}, "parameters of a client account, NAME=VALUE, separated by commas");
ABSL_FLAG(std::string, template_name, "", "template of a client account");
ABSL_FLAG(std::string, file, "", "YAML file of a template");
ABSL_FLAG(std::string, to_version, "", "version to which a service is set or moved");
ABSL_FLAG(int64_t, within_seconds, 0, "deadline of a move, in seconds from now");
ABSL_FLAG(int64_t, watch_seconds, 5, "seconds for which a move is watched after its last step");
ABSL_FLAG(std::string, move_id, "", "id of a move; generated if absent");
ABSL_FLAG(int64_t, limit, 50, "maximum number of lines of history and audit");
ABSL_FLAG(int64_t, timeout_ms, 8000, "milliseconds during which unavailable control hosts are tried again");

using namespace pomelowind;

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(operators::COMMAND_LINE_HELP);
    auto arguments = absl::ParseCommandLine(argc, argv);
    return host::runProgram([&] {
        operators::CommandLineOptions options;
        for (size_t i = 1; i < arguments.size(); ++i)
            options.words.emplace_back(arguments[i]);
        for (const auto& it : absl::GetFlag(FLAGS_control))
            options.controlAddresses.push_back(base::parseAddress(it));
        options.token = absl::GetFlag(FLAGS_token);
        const char* token = std::getenv("POMELOWIND_TOKEN");
        if (options.token.empty() && token)
            options.token = token;
        options.printsJson = absl::GetFlag(FLAGS_format) == "json";
        options.requestId = absl::GetFlag(FLAGS_request_id);
        options.baseVersion = absl::GetFlag(FLAGS_base_version);
        options.parameters = absl::GetFlag(FLAGS_param);
        options.templateName = absl::GetFlag(FLAGS_template_name);
        options.file = absl::GetFlag(FLAGS_file);
        options.toVersion = absl::GetFlag(FLAGS_to_version);
        options.deadlineIn = std::chrono::seconds(absl::GetFlag(FLAGS_within_seconds));
        options.watchTime = std::chrono::seconds(absl::GetFlag(FLAGS_watch_seconds));
        options.moveId = absl::GetFlag(FLAGS_move_id);
        options.limit = absl::GetFlag(FLAGS_limit);
        options.timeout = base::Millis(absl::GetFlag(FLAGS_timeout_ms));
        return operators::runCommandLine(options);
    });
}
