// The timer service: parts subscribe to a period and are called on their own duty.
#pragma once

#include "pomelowind/base/Time.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace pomelowind::base {

// Ends a subscription when destroyed.
class Subscription {
public:
    virtual ~Subscription() = default;
};

// Calls subscribers periodically. Thread safety: subscribe may be called from any thread.
class TimerService {
public:
    using Callback = std::function<void()>;
    virtual ~TimerService() = default;
    // Calls `callback` on `duty` each `period`. Precondition: period > 0. A late callback is not repeated.
    virtual std::unique_ptr<Subscription> subscribe(boost::asio::io_context& duty, Millis period, Callback callback)
        = 0;
};

// Timer service backed by one thread of the process.
std::unique_ptr<TimerService> makeTimerService();

} // namespace pomelowind::base
