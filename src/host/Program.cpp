#include "pomelowind/host/Program.h"

#include "pomelowind/base/Errors.h"
#include "pomelowind/base/Log.h"

#include <csignal>
#include <cstring>
#include <iostream>

namespace pomelowind::host {

namespace {

    sigset_t handledSignals()
    {
        sigset_t set;
        sigemptyset(&set);
        sigaddset(&set, SIGTERM);
        sigaddset(&set, SIGINT);
        sigaddset(&set, SIGHUP);
        return set;
    }

    void logSignal(std::string_view event, int signal)
    {
        base::logInfo(event, { { "signal", std::string("SIG") + sigabbrev_np(signal) } });
    }

    // A process that stops has nothing to reload and no second stop to begin.
    void logIgnoredSignals()
    {
        sigset_t set = handledSignals();
        timespec noWait {};
        for (int signal = sigtimedwait(&set, nullptr, &noWait); signal > 0;
             signal = sigtimedwait(&set, nullptr, &noWait))
            logSignal("signal.ignored", signal);
    }

}

int runProgram(const std::function<int()>& body)
{
    try {
        int code = body();
        base::stopLogging();
        return code;
    } catch (const base::UserError& e) {
        std::cerr << e.what() << std::endl;
        return EXIT_USAGE;
    } catch (const std::exception& e) {
        std::cerr << e.what() << std::endl;
        return EXIT_FAULT;
    }
}

int runDaemon(const std::function<int()>& body)
{
    std::signal(SIGPIPE, SIG_IGN);
    // Threads inherit the mask. A thread without it would take each signal that waitForStopSignal() does not wait for
    // at that moment, and the signal's default action ends the process.
    sigset_t set = handledSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    return runProgram([&body] {
        int code = body();
        logIgnoredSignals();
        return code;
    });
}

void waitForStopSignal(const std::function<void()>& reload)
{
    sigset_t set = handledSignals();
    int signal = 0;
    for (sigwait(&set, &signal); signal == SIGHUP; sigwait(&set, &signal)) {
        logSignal("signal.received", signal);
        try {
            if (reload)
                reload();
        } catch (const std::exception& e) {
            base::logError("settings.reload_failed", { { "error", e.what() } });
        }
    }
    logSignal("signal.received", signal);
}

} // namespace pomelowind::host
