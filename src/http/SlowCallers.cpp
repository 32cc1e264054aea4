#include "SlowCallers.h"

#include <algorithm>
#include <numeric>

namespace pomelowind::http {

namespace {

    // A caller over a link between data centres may lose a packet and take nothing for some hundred milliseconds.
    constexpr auto RATE_WINDOW = base::Millis(1000);

}

void TransferRate::start(base::Instant now)
{
    m_windowStart = now;
    m_bytes = 0;
    m_rate.reset();
}

std::optional<double> TransferRate::bytesPerSecond(base::Instant now)
{
    if (now - m_windowStart < RATE_WINDOW)
        return m_rate;
    m_rate = static_cast<double>(m_bytes) / std::chrono::duration<double>(now - m_windowStart).count();
    m_windowStart = now;
    m_bytes = 0;
    return m_rate;
}

std::vector<size_t> transfersToEnd(
    const std::vector<HeldTransfer>& transfers, size_t bytesNeeded, double slowBytesPerSecond)
{
    std::vector<size_t> order(transfers.size());
    std::iota(order.begin(), order.end(), size_t { 0 });
    std::erase_if(order, [&](size_t i) { return transfers[i].bytesPerSecond >= slowBytesPerSecond; });
    std::sort(order.begin(), order.end(), [&](size_t a, size_t b) {
        const auto& first = transfers[a];
        const auto& second = transfers[b];
        return first.bytesPerSecond != second.bytesPerSecond ? first.bytesPerSecond < second.bytesPerSecond
                                                             : first.bytes > second.bytes;
    });
    size_t freed = 0;
    size_t n = 0;
    while (n < order.size() && freed < bytesNeeded)
        freed += transfers[order[n++]].bytes;
    order.resize(n);
    return order;
}

} // namespace pomelowind::http
