// Callers outside the operator's control: raw connections whose bytes the test writes, and which read only what it
// says. For tests that run the system's own processes.
#pragma once

#include "benchmarks/Mesh.h"

#include <string>
#include <vector>

namespace pomelowind::tests {

// Opens connections to one address. The destructor closes them. Thread safety: one thread.
class CallerCrowd {
public:
    explicit CallerCrowd(base::Address address)
        : m_address(std::move(address))
    {
    }
    ~CallerCrowd();
    CallerCrowd(const CallerCrowd&) = delete;
    CallerCrowd& operator=(const CallerCrowd&) = delete;

    // Opens one connection with a small receive buffer and sends `bytes`. With `waitsForAnswer`, returns once the first
    // byte of an answer or the end of the connection has arrived, after 2 s at the latest.
    void add(const std::string& bytes, bool waitsForAnswer);
    // Reads at most `bytes` on each connection, without waiting.
    void readSome(size_t bytes);
    // Sends `bytes` on each connection as far as its buffer takes them.
    void sendOnAll(const std::string& bytes);

private:
    base::Address m_address;
    std::vector<int> m_sockets;
};

// Sets the number of descriptors that processes started during its life may open. This process keeps those it has.
class LoweredDescriptorLimit {
public:
    explicit LoweredDescriptorLimit(size_t descriptors);
    ~LoweredDescriptorLimit();
    LoweredDescriptorLimit(const LoweredDescriptorLimit&) = delete;
    LoweredDescriptorLimit& operator=(const LoweredDescriptorLimit&) = delete;

private:
    size_t m_former;
};

// Returns the largest resident set size that the process has had, in MiB; -1 when it has ended.
double peakMemoryMb(int pid);
// Returns the number of descriptors that the process has open; -1 when it has ended.
int openDescriptors(int pid);

} // namespace pomelowind::tests
