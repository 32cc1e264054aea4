#include "pomelowind/base/EventLoopThread.h"

#include "pomelowind/base/Log.h"

#include <cstdlib>
#include <pthread.h>

namespace pomelowind::base {

namespace {

    // Linux limits thread names to 15 characters and a terminating zero.
    constexpr size_t MAX_THREAD_NAME_LENGTH = 15;

}

EventLoopThread::EventLoopThread(std::string name)
    : m_name(std::move(name))
    , m_guard(m_context.get_executor())
{
}

EventLoopThread::~EventLoopThread() { stop(); }

void EventLoopThread::start()
{
    m_thread = std::thread([this] {
        pthread_setname_np(pthread_self(), m_name.substr(0, MAX_THREAD_NAME_LENGTH).c_str());
        try {
            m_context.run();
        } catch (const std::exception& e) {
            logError("event_loop.failed", { { "duty", m_name }, { "error", e.what() } });
            stopLogging();
            std::_Exit(EXIT_FAILURE);
        }
    });
}

void EventLoopThread::stop()
{
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

} // namespace pomelowind::base
