// The frame of every program's main(): exit codes, reporting of errors with their remedy, and signal handling.
#pragma once

#include <functional>
#include <string>

namespace pomelowind::host {

// Exit codes of all programs.
constexpr int EXIT_OK = 0;
constexpr int EXIT_FAULT = 1;
constexpr int EXIT_USAGE = 2;

// Runs `body` and returns its exit code. An exception is written to standard error and turned into an exit code:
// EXIT_USAGE for a UserError, EXIT_FAULT for any other.
int runProgram(const std::function<int()>& body);

// Blocks until SIGTERM or SIGINT arrives. Calls `reload` on each SIGHUP until then; an exception that it throws is
// logged. Precondition: blockStopSignals() was called before any thread was started.
void waitForStopSignal(const std::function<void()>& reload = {});
// Blocks SIGTERM, SIGINT and SIGHUP in this thread and in the threads that it starts, for waitForStopSignal(), and
// ignores SIGPIPE, so that writing to a closed connection returns an error instead of ending the process.
void blockStopSignals();

} // namespace pomelowind::host
