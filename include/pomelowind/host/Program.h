// The frame of every program's main(): exit codes, reporting of errors with their remedy, and signal handling.
#pragma once

#include <functional>
#include <string>

namespace pomelowind::host {

// Exit codes of all programs.
constexpr int EXIT_OK = 0;
constexpr int EXIT_FAULT = 1;
constexpr int EXIT_USAGE = 2;

// Runs the body of a program that ends by itself, and returns its exit code. An exception is written to standard error
// and turned into an exit code: EXIT_USAGE for a UserError, EXIT_FAULT for any other.
int runProgram(const std::function<int()>& body);

// Runs the body of a program that runs until a signal stops it, and otherwise does the same as runProgram(). From its
// call on, SIGTERM, SIGINT and SIGHUP do not end the process: they stay pending while the body starts, until
// waitForStopSignal() takes them, SIGHUP first. A body that blocks before that ends only by SIGKILL. SIGPIPE is
// ignored, so that writing to a closed connection returns an error; other signals keep their default action.
// Precondition: no thread has been started, and main() does nothing that lasts before the call.
int runDaemon(const std::function<int()>& body);

// Applies settings that were read. Called on any thread, at most once, and never after waitForStopSignal() has
// returned.
using ApplySettings = std::function<void()>;
// Reads the settings and returns what applies them. Called on a thread of its own; may throw.
using ReadSettings = std::function<ApplySettings()>;

// Blocks until SIGTERM or SIGINT arrives. Reloads the settings on each SIGHUP until then, one reload after the other;
// an exception is logged. A reload that is still reading its file when the stop signal arrives is given up.
// Precondition: called on the thread that runs the body of runDaemon().
void waitForStopSignal(ReadSettings readSettings = {});

} // namespace pomelowind::host
