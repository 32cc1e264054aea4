// A bounded queue between threads, stored in a ring buffer. Appending to a full queue fails; the queue never grows.
#pragma once

#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace pomelowind::base {

// FIFO queue of fixed capacity. Thread safety: all methods may be called from any thread.
template <class T> class BoundedRing {
public:
    // Precondition: capacity > 0.
    explicit BoundedRing(size_t capacity)
        : m_slots(capacity)
    {
    }

    // Appends `item`. Returns false and leaves `item` unchanged when the queue is full.
    bool tryPush(T& item)
    {
        std::lock_guard lock(m_mutex);
        if (m_size == m_slots.size())
            return false;
        m_slots[(m_head + m_size) % m_slots.size()].emplace(std::move(item));
        ++m_size;
        return true;
    }

    // Removes and returns the oldest item, or returns nullopt when the queue is empty.
    std::optional<T> tryPop()
    {
        std::lock_guard lock(m_mutex);
        if (!m_size)
            return std::nullopt;
        std::optional<T> item = std::move(m_slots[m_head]);
        m_slots[m_head].reset();
        m_head = (m_head + 1) % m_slots.size();
        --m_size;
        return item;
    }

    size_t size() const
    {
        std::lock_guard lock(m_mutex);
        return m_size;
    }

    size_t capacity() const { return m_slots.size(); }

private:
    mutable std::mutex m_mutex;
    std::vector<std::optional<T>> m_slots;
    size_t m_head { 0 };
    size_t m_size { 0 };
};

} // namespace pomelowind::base
