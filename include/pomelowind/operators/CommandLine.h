// The commands of pomelowindctl. Each becomes requests to the operators' API of a control host; when one host does not
// answer or is unavailable, the next one is tried.
#pragma once

#include "pomelowind/base/Settings.h"

#include <string>
#include <vector>

namespace pomelowind::operators {

inline constexpr char COMMAND_LINE_HELP[] = R"(pomelowindctl --control=IP:PORT,... [--format=text|json] COMMAND

  service set NAME --to_version=V     create a service, or set its version without a move
  service remove NAME | list | show NAME
  template submit NAME --file=FILE    submit a template
  template list | show NAME
  account set NAME --template_name=T --param=NAME=VALUE,...
  account remove NAME | list | show NAME
  move start SERVICE --to_version=V --within_seconds=S [--watch_seconds=S] [--move_id=ID]
  move status ID | take-back ID | list
  evacuate start DATA_CENTRE | finish DATA_CENTRE | list
  status                              nodes in force of nodes known, by data centre, and which are missing
  history | audit [--limit=N]
  members | members set VOTER,... [LEARNER,...]

Each submission takes --base_version (read first when absent) and --request_id (made and printed when absent).
Exit codes: 0 accepted or shown; 2 wrong arguments or invalid input; 3 conflict; 4 not found; 5 denied;
6 no control host could answer (send again with the same request id).)";

// A parsed command line: the words of the command and its flags.
struct CommandLineOptions {
    std::vector<std::string> words; // the command, without flags
    std::vector<base::Address> controlAddresses; // addresses at which the control hosts serve the operators' API
    std::string token; // bearer token of the operator
    bool printsJson { false };
    std::string requestId; // empty: generated
    int64_t baseVersion { -1 }; // below 0: the current version is read first
    std::vector<std::string> parameters; // NAME=VALUE
    std::string templateName;
    std::string file;
    std::string toVersion;
    base::Millis deadlineIn { 0 };
    base::Millis watchTime { 0 };
    std::string moveId; // empty: generated
    int64_t limit { 50 }; // entries of history and audit
    base::Millis timeout { 8000 }; // for all attempts of one request
};

// Runs the command, prints the response on standard output, and returns the exit code that COMMAND_LINE_HELP lists.
// Throws UserError(InvalidInput) on wrong arguments.
int runCommandLine(const CommandLineOptions& options);

} // namespace pomelowind::operators
