// A limit on the memory that the bodies of calls occupy in this process. One budget covers request bodies that are
// being read or whose call has not been answered yet, bodies received from other nodes, and responses of targets.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace pomelowind::base {

// Counts the reserved bytes against a limit. Thread safety: confined to one event loop thread.
class MemoryBudget {
public:
    explicit MemoryBudget(size_t limitBytes)
        : m_limitBytes(limitBytes)
    {
    }

    // Reserves `bytes`. Returns false and reserves nothing when they would exceed the limit.
    bool tryReserve(size_t bytes)
    {
        if (bytes > m_limitBytes - m_reservedBytes)
            return false;
        m_reservedBytes += bytes;
        return true;
    }
    // Releases `bytes`. Precondition: they are reserved.
    void release(size_t bytes) { m_reservedBytes -= bytes; }

private:
    size_t m_limitBytes;
    size_t m_reservedBytes { 0 };
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
        if (!m_budget->tryReserve(bytes - m_reservedBytes))
            return false;
        m_reservedBytes = bytes;
        return true;
    }

    // Releases all reserved bytes.
    void release()
    {
        if (m_budget)
            m_budget->release(std::exchange(m_reservedBytes, 0));
    }

private:
    MemoryBudgetPtr m_budget;
    size_t m_reservedBytes { 0 };
};

} // namespace pomelowind::base
