// Bounds the bytes that bodies of calls take in this process, whoever holds them: callers' requests that are being
// read or wait for an answer, bodies that other nodes send here, and responses of targets.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace pomelowind::base {

// Thread safety: confined to one duty.
class MemoryBudget {
public:
    explicit MemoryBudget(size_t bytes)
        : m_bytes(bytes)
    {
    }

    // Takes `bytes` when they fit.
    bool tryTake(size_t bytes)
    {
        if (bytes > m_bytes - m_used)
            return false;
        m_used += bytes;
        return true;
    }
    // Precondition: they were taken.
    void give(size_t bytes) { m_used -= bytes; }

private:
    size_t m_bytes;
    size_t m_used { 0 };
};

using MemoryBudgetPtr = std::shared_ptr<MemoryBudget>;

// The bytes that one body has taken; given back with the lease. Thread safety: that of its budget.
class MemoryLease {
public:
    // Without a budget nothing is bounded.
    explicit MemoryLease(MemoryBudgetPtr budget = nullptr)
        : m_budget(std::move(budget))
    {
    }
    MemoryLease(MemoryLease&& other) noexcept { *this = std::move(other); }
    MemoryLease& operator=(MemoryLease&& other) noexcept
    {
        release();
        m_budget = std::move(other.m_budget);
        m_bytes = std::exchange(other.m_bytes, 0);
        return *this;
    }
    MemoryLease(const MemoryLease&) = delete;
    MemoryLease& operator=(const MemoryLease&) = delete;
    ~MemoryLease() { release(); }

    // Holds at least `bytes` from now on, or returns false and holds what it held.
    bool growTo(size_t bytes)
    {
        if (!m_budget || bytes <= m_bytes)
            return true;
        if (!m_budget->tryTake(bytes - m_bytes))
            return false;
        m_bytes = bytes;
        return true;
    }

    void release()
    {
        if (m_budget)
            m_budget->give(std::exchange(m_bytes, 0));
    }

private:
    MemoryBudgetPtr m_budget;
    size_t m_bytes { 0 };
};

} // namespace pomelowind::base
