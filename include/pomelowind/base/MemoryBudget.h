// A limit on the memory that this process holds for callers. One budget covers request bodies that are being read or
// whose call has not been answered yet, bodies received from other nodes, responses of targets, responses that wait for
// their callers, and what waits on links to other nodes.
#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>

namespace pomelowind::base {

// Counts the reserved bytes against a limit. Thread safety: confined to one event loop thread.
class MemoryBudget {
public:
    // Bodies up to this size may use an eighth of the limit beyond it, so that calls with small bodies are still served
    // when large ones have taken all of it.
    static constexpr size_t SMALL_BODY_BYTES = 64 * 1024;

    explicit MemoryBudget(size_t limitBytes)
        : m_limitBytes(limitBytes)
    {
    }

    // Grows a reservation from `from` to `to` bytes. Returns false and reserves nothing when that would exceed the
    // limit. Precondition: from <= to.
    bool tryGrow(size_t from, size_t to)
    {
        size_t limit = m_limitBytes + (to <= SMALL_BODY_BYTES ? smallBodyBytes() : 0);
        if (m_reservedBytes > limit || to - from > limit - m_reservedBytes) {
            m_shortage += to - from;
            return false;
        }
        m_reservedBytes += to - from;
        return true;
    }
    // Counts `bytes` that are occupied already, even beyond the limit.
    void add(size_t bytes) { m_reservedBytes += bytes; }
    // Releases `bytes`. Precondition: they are reserved.
    void release(size_t bytes) { m_reservedBytes -= bytes; }

    size_t reservedBytes() const { return m_reservedBytes; }
    // The bytes beyond the limit that only small bodies may use.
    size_t smallBodyBytes() const { return m_limitBytes / SMALL_SHARE; }
    // Returns the bytes that could not be reserved since the last call.
    size_t takeShortage() { return std::exchange(m_shortage, 0); }

private:
    static constexpr size_t SMALL_SHARE = 8;

    size_t m_limitBytes;
    size_t m_reservedBytes { 0 };
    size_t m_shortage { 0 };
};

using MemoryBudgetPtr = std::shared_ptr<MemoryBudget>;

// The bytes reserved for one body, released on destruction. Thread safety: that of its budget.
class MemoryReservation {
public:
    // Without a budget there is no limit.
    explicit MemoryReservation(MemoryBudgetPtr budget = nullptr)
        : m_budget(std::move(budget))
    {
    }
    MemoryReservation(MemoryReservation&& other) noexcept { *this = std::move(other); }
    MemoryReservation& operator=(MemoryReservation&& other) noexcept
    {
        release();
        m_budget = std::move(other.m_budget);
        m_reservedBytes = std::exchange(other.m_reservedBytes, 0);
        return *this;
    }
    MemoryReservation(const MemoryReservation&) = delete;
    MemoryReservation& operator=(const MemoryReservation&) = delete;
    ~MemoryReservation() { release(); }

    // Grows the reservation to at least `bytes`. Returns false and leaves it as it is when the budget does not allow
    // it.
    bool growTo(size_t bytes)
    {
        if (!m_budget || bytes <= m_reservedBytes)
            return true;
        if (!m_budget->tryGrow(m_reservedBytes, bytes))
            return false;
        m_reservedBytes = bytes;
        return true;
    }

    // Sets the reservation to `bytes` that are occupied already, even beyond the budget's limit.
    void setTo(size_t bytes)
    {
        if (!m_budget)
            return;
        release();
        m_budget->add(bytes);
        m_reservedBytes = bytes;
    }

    // Releases all reserved bytes.
    void release()
    {
        if (m_budget)
            m_budget->release(std::exchange(m_reservedBytes, 0));
    }

    size_t bytes() const { return m_reservedBytes; }

private:
    MemoryBudgetPtr m_budget;
    size_t m_reservedBytes { 0 };
};

} // namespace pomelowind::base
