// A bounded queue into an event loop thread. The threads of a process use it to pass work to each other.
#pragma once

#include "pomelowind/base/BoundedRing.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <memory>

namespace pomelowind::base {

// Passes items of type T to a handler that runs on the receiver's event loop thread.
// Thread safety: tryPut() may be called from any thread; the handler runs on the receiver's thread only.
template <class T> class Mailbox {
public:
    using Handler = std::function<void(T&&)>;

    // Precondition: `receiver` outlives the mailbox and is stopped before the mailbox is destroyed.
    Mailbox(boost::asio::io_context& receiver, size_t capacity, Handler handler)
        : m_receiver(receiver)
        , m_ring(capacity)
        , m_handler(std::move(handler))
    {
    }

    // Queues `item`. Returns false when the queue is full; the caller must then refuse the work.
    bool tryPut(T item)
    {
        if (!m_ring.tryPush(item))
            return false;
        if (!m_scheduled.exchange(true))
            boost::asio::post(m_receiver, [this] { drain(); });
        return true;
    }

private:
    void drain()
    {
        m_scheduled.store(false);
        while (auto item = m_ring.tryPop())
            m_handler(std::move(*item));
    }

    boost::asio::io_context& m_receiver;
    BoundedRing<T> m_ring;
    Handler m_handler;
    std::atomic<bool> m_scheduled { false };
};

} // namespace pomelowind::base
