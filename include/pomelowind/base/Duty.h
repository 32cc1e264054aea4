// A duty is one named thread that runs one Asio event loop. Duties exchange work only through mailboxes.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <string>
#include <thread>

namespace pomelowind::base {

// One thread of the process. Thread safety: start and stop from the owning thread; context() from any.
class Duty {
public:
    explicit Duty(std::string name);
    ~Duty();
    Duty(const Duty&) = delete;
    Duty& operator=(const Duty&) = delete;

    // Starts the thread. Precondition: not started.
    void start();
    // Ends the loop and joins the thread; does nothing when not running.
    void stop();
    boost::asio::io_context& context() { return m_context; }

private:
    std::string m_name;
    boost::asio::io_context m_context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
    std::thread m_thread;
};

} // namespace pomelowind::base
