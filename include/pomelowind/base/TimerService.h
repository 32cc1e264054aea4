// Periodic timers. Components subscribe with a period and are called back on their own event loop thread.
#pragma once

#include "pomelowind/base/Time.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace pomelowind::base {

// Ends its subscription when destroyed. No callback starts afterwards when it is destroyed on the thread that runs the
// callbacks.
class TimerSubscription {
public:
    virtual ~TimerSubscription() = default;
};

// Calls subscribers periodically. Thread safety: subscribe() may be called from any thread.
class TimerService {
public:
    using Callback = std::function<void()>;
    virtual ~TimerService() = default;
    // Calls `callback` on the event loop `receiver` once per `period` until the subscription is destroyed. A tick is
    // skipped while the callback of an earlier tick is still queued. Preconditions: period > 0; `receiver` outlives the
    // subscription.
    virtual std::unique_ptr<TimerSubscription> subscribe(
        boost::asio::io_context& receiver, Millis period, Callback callback)
        = 0;
};

// Returns a timer service that runs its timers on a thread of its own.
std::unique_ptr<TimerService> makeTimerService();

} // namespace pomelowind::base
