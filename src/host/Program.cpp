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

    void logSignal(int signal)
    {
        base::logInfo("signal.received", { { "signal", std::string("SIG") + sigabbrev_np(signal) } });
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

void blockStopSignals()
{
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t set = handledSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void waitForStopSignal(const std::function<void()>& reload)
{
    sigset_t set = handledSignals();
    int signal = 0;
    for (sigwait(&set, &signal); signal == SIGHUP; sigwait(&set, &signal)) {
        logSignal(signal);
        try {
            if (reload)
                reload();
        } catch (const std::exception& e) {
            base::logError("settings.reload_failed", { { "error", e.what() } });
        }
    }
    logSignal(signal);
}

} // namespace pomelowind::host
