// What every program does around its work: check settings, log errors with their remedy, stop on SIGTERM.
#pragma once

#include <functional>
#include <string>

namespace pomelowind::platform {

// Exit codes of all programs.
constexpr int EXIT_OK = 0;
constexpr int EXIT_FAULT = 1;
constexpr int EXIT_USAGE = 2;

// Runs `body` and turns exceptions into an exit code and one line on standard error.
int runProgram(const std::function<int()>& body);

// Blocks until SIGTERM or SIGINT arrives. Precondition: blockStopSignals() ran before any thread was started.
void waitForStopSignal();
void blockStopSignals();

} // namespace pomelowind::platform
