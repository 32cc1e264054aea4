// What every program does around its work: check settings, log errors with their remedy, stop on SIGTERM.
#pragma once

#include <functional>
#include <string>

namespace pomelowind::host {

// Exit codes of all programs.
constexpr int EXIT_OK = 0;
constexpr int EXIT_FAULT = 1;
constexpr int EXIT_USAGE = 2;

// Runs `body` and turns exceptions into an exit code and one line on standard error.
int runProgram(const std::function<int()>& body);

// Blocks until SIGTERM or SIGINT arrives; calls `reload` at each SIGHUP before that, and logs what it throws.
// Precondition: blockStopSignals() ran before any thread was started.
void waitForStopSignal(const std::function<void()>& reload = {});
void blockStopSignals();

} // namespace pomelowind::host
