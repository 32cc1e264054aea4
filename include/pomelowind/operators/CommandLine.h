// What pomelowindctl does: one command against any of the control hosts, tried at the next one when one does not
// answer.
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
  status                              nodes in force of nodes known, by data centre, and which are missing
  history | audit [--limit=N]
  members | members set VOTER,... [LEARNER,...]

Each submission takes --base_version (read first when absent) and --request_id (made and printed when absent).
Exit codes: 0 accepted or shown; 2 wrong arguments or invalid input; 3 conflict; 4 not found; 5 denied;
6 no control host could answer (send again with the same request id).)";

// A command and its options.
struct CommandLineOptions {
    std::vector<std::string> words;
    std::vector<base::Address> control;
    std::string token;
    bool json { false };
    std::string requestId;
    int64_t baseVersion { -1 };
    std::vector<std::string> parameters;
    std::string templateName;
    std::string file;
    std::string toVersion;
    base::Millis within { 0 };
    base::Millis watch { 0 };
    std::string moveId;
    int64_t limit { 50 };
    base::Millis timeout { 8000 };
};

// Runs the command, prints its answer, and returns the exit code. Throws UserError(InvalidInput) on wrong arguments.
int runCommandLine(const CommandLineOptions& options);

} // namespace pomelowind::operators
