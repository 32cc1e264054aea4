// Decides which callers lose their connections while the memory for callers' bytes is short. Performs no I/O.
#pragma once

#include "pomelowind/base/Time.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace pomelowind::http {

// Measures how fast a caller takes its response or sends its request.
class TransferRate {
public:
    void start(base::Instant now);
    void add(size_t bytes) { m_bytes += bytes; }
    // Returns the rate over the last window of about a second; nothing before the first window has passed. To be called
    // several times per second.
    std::optional<double> bytesPerSecond(base::Instant now);

private:
    base::Instant m_windowStart;
    size_t m_bytes { 0 };
    std::optional<double> m_rate;
};

// A connection for which bytes are held until its caller has read or sent the rest.
struct HeldTransfer {
    size_t bytes { 0 };
    double bytesPerSecond { 0 };
};

// Returns the indexes of the transfers to end so that `bytesNeeded` become free: the slowest and, among equally slow
// ones, the largest first, and none that is as fast as `slowBytesPerSecond`. Thread safety: pure.
std::vector<size_t> transfersToEnd(
    const std::vector<HeldTransfer>& transfers, size_t bytesNeeded, double slowBytesPerSecond);

} // namespace pomelowind::http
