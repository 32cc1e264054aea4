#include "pomelowind/base/TimerService.h"

#include "pomelowind/base/EventLoopThread.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace pomelowind::base {

namespace {

    // The periodic timer of one subscription. It runs on the timer service's thread and posts the callback to the
    // receiver's event loop; `m_callbackQueued` limits the callbacks queued there to one.
    class Ticker : public std::enable_shared_from_this<Ticker> {
    public:
        Ticker(boost::asio::io_context& timers, boost::asio::io_context& receiver, Millis period,
            TimerService::Callback callback)
            : m_timer(timers)
            , m_receiver(receiver)
            , m_period(period)
            , m_callback(std::move(callback))
        {
        }

        void arm()
        {
            m_timer.expires_after(m_period);
            m_timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
                if (ec || self->m_cancelled)
                    return;
                self->fire();
                self->arm();
            });
        }

        void cancel() { m_cancelled = true; }

    private:
        void fire()
        {
            if (m_callbackQueued.exchange(true))
                return;
            boost::asio::post(m_receiver, [self = shared_from_this()] {
                self->m_callbackQueued = false;
                if (!self->m_cancelled)
                    self->m_callback();
            });
        }

        boost::asio::steady_timer m_timer;
        boost::asio::io_context& m_receiver;
        Millis m_period;
        TimerService::Callback m_callback;
        std::atomic<bool> m_callbackQueued { false };
        std::atomic<bool> m_cancelled { false };
    };

    class TickerSubscription final : public TimerSubscription {
    public:
        explicit TickerSubscription(std::shared_ptr<Ticker> ticker)
            : m_ticker(std::move(ticker))
        {
        }
        ~TickerSubscription() override { m_ticker->cancel(); }

    private:
        std::shared_ptr<Ticker> m_ticker;
    };

    class ThreadTimerService final : public TimerService {
    public:
        ThreadTimerService()
            : m_thread("timers")
        {
            m_thread.start();
        }

        std::unique_ptr<TimerSubscription> subscribe(
            boost::asio::io_context& receiver, Millis period, Callback callback) override
        {
            auto ticker = std::make_shared<Ticker>(m_thread.context(), receiver, period, std::move(callback));
            boost::asio::post(m_thread.context(), [ticker] { ticker->arm(); });
            return std::make_unique<TickerSubscription>(ticker);
        }

    private:
        EventLoopThread m_thread;
    };

}

std::unique_ptr<TimerService> makeTimerService() { return std::make_unique<ThreadTimerService>(); }

} // namespace pomelowind::base
