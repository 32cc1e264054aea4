// Seeded pseudo-random numbers, for jitter, load balancing and tests. The same seed gives the same sequence on every
// machine. Not suitable for cryptography; see randomBytes().
#pragma once

#include <cstdint>
#include <random>

namespace pomelowind::base {

// A pseudo-random number generator. Thread safety: confined to one thread.
class Random {
public:
    explicit Random(uint64_t seed)
        : m_engine(seed)
    {
    }

    // Uniform 64-bit integer.
    uint64_t next() { return m_engine(); }
    // Uniform integer in [0, n). Precondition: n > 0.
    uint64_t uniformBelow(uint64_t n) { return m_engine() % n; }
    // Uniform real in [0, 1).
    double uniformReal() { return static_cast<double>(m_engine() >> 11) * 0x1.0p-53; }
    // True with probability `p`.
    bool bernoulli(double p) { return uniformReal() < p; }

private:
    std::mt19937_64 m_engine;
};

// Returns a seed from the operating system, different in each process, for jitter in production. Thread safety: any
// thread.
uint64_t randomSeed();

} // namespace pomelowind::base
