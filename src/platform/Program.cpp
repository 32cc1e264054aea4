#include "pomelowind/platform/Program.h"

#include "pomelowind/base/Errors.h"

#include <csignal>
#include <iostream>

namespace pomelowind::platform {

namespace {

    sigset_t stopSignals()
    {
        sigset_t set;
        sigemptyset(&set);
        sigaddset(&set, SIGTERM);
        sigaddset(&set, SIGINT);
        return set;
    }

}

int runProgram(const std::function<int()>& body)
{
    try {
        return body();
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
    sigset_t set = stopSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void waitForStopSignal()
{
    sigset_t set = stopSignals();
    int signal = 0;
    sigwait(&set, &signal);
}

} // namespace pomelowind::platform
