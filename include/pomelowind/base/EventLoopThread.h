// An event loop thread: a named thread that runs one Asio event loop. Objects that are confined to a thread live on one
// of these; the threads of a process pass work to each other only through bounded queues (Mailbox).
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <string>
#include <thread>

namespace pomelowind::base {

// Owns the thread and its event loop. An exception that escapes a handler is logged and ends the process.
// Thread safety: start() and stop() may be called from the owning thread only, context() from any thread.
class EventLoopThread {
public:
    explicit EventLoopThread(std::string name);
    ~EventLoopThread();
    EventLoopThread(const EventLoopThread&) = delete;
    EventLoopThread& operator=(const EventLoopThread&) = delete;

    // Starts the thread. Precondition: it has not been started before.
    void start();
    // Stops the event loop and joins the thread. Does nothing when the thread is not running.
    void stop();
    boost::asio::io_context& context() { return m_context; }

private:
    std::string m_name;
    boost::asio::io_context m_context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
    std::thread m_thread;
};

} // namespace pomelowind::base
