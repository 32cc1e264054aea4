#include "pomelowind/host/Program.h"

#include "pomelowind/base/Errors.h"
#include "pomelowind/base/Log.h"

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <malloc.h>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

namespace pomelowind::host {

namespace {

    // Larger allocations are mapped on their own and returned to the system when they are freed. The allocator would
    // otherwise raise this size up to 32 MiB and keep the memory of large bodies after they have left.
    constexpr int MAPPED_ALLOCATION_BYTES = 256 * 1024;

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

    // Reloads settings on a thread of its own, so that a file that blocks holds up no stop. Thread safety: any thread.
    class Reloader : public std::enable_shared_from_this<Reloader> {
    public:
        explicit Reloader(ReadSettings readSettings)
            : m_readSettings(std::move(readSettings))
        {
        }

        // Reloads the settings, after the running reload if there is one: the file may have changed since that one
        // read it.
        void request()
        {
            std::lock_guard lock(m_mutex);
            m_requested = m_readSettings != nullptr;
            if (!m_requested || m_running)
                return;
            m_running = true;
            // Detached, since reading a file cannot be cancelled.
            std::thread([self = shared_from_this()] { self->run(); }).detach();
        }

        // Lets no reload be applied from now on. Waits while one is being applied.
        void stop()
        {
            std::lock_guard lock(m_mutex);
            m_stopped = true;
        }

    private:
        void run()
        {
            while (takeRequest()) {
                try {
                    auto apply = m_readSettings();
                    std::lock_guard lock(m_mutex);
                    if (!m_stopped)
                        apply();
                } catch (const std::exception& e) {
                    base::logError("settings.reload_failed", { { "error", e.what() } });
                }
            }
        }

        bool takeRequest()
        {
            std::lock_guard lock(m_mutex);
            m_running = std::exchange(m_requested, false) && !m_stopped;
            return m_running;
        }

        const ReadSettings m_readSettings;
        std::mutex m_mutex;
        bool m_requested { false };
        bool m_running { false };
        bool m_stopped { false };
    };

    // Takes the signals that come during a stop for the rest of the process: a process that stops has nothing to reload
    // and no second stop to begin.
    void logFurtherSignals()
    {
        std::thread([set = handledSignals()] {
            int signal = 0;
            while (sigwait(&set, &signal) == 0)
                logSignal("signal.ignored", signal);
        }).detach();
    }

}

int runProgram(const std::function<int()>& body)
{
    try {
        int code = body();
        // Ending the static objects would wait for the log writer too.
        if (!base::stopLogging())
            std::_Exit(code);
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
    mallopt(M_MMAP_THRESHOLD, MAPPED_ALLOCATION_BYTES);
    std::signal(SIGPIPE, SIG_IGN);
    // Threads inherit the mask. A thread without it would take each signal that waitForStopSignal() does not wait for
    // at that moment, and the signal's default action ends the process.
    sigset_t set = handledSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    return runProgram(body);
}

void waitForStopSignal(ReadSettings readSettings)
{
    auto reloader = std::make_shared<Reloader>(std::move(readSettings));
    sigset_t set = handledSignals();
    int signal = 0;
    for (sigwait(&set, &signal); signal == SIGHUP; sigwait(&set, &signal)) {
        logSignal("signal.received", signal);
        reloader->request();
    }
    logSignal("signal.received", signal);
    logFurtherSignals();
    reloader->stop();
}

} // namespace pomelowind::host
