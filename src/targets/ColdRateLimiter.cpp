#include "pomelowind/targets/ColdRateLimiter.h"

#include <algorithm>
#include <cmath>

namespace pomelowind::targets {

namespace {

    constexpr auto SECOND = std::chrono::duration_cast<base::Instant::duration>(std::chrono::seconds(1));
    // Calls travel from the gate to the target for different times, so they may arrive closer together than they start.
    constexpr auto TRAVEL_JITTER = std::chrono::duration_cast<base::Instant::duration>(base::Millis(20));
    constexpr double MIN_RATE_PER_SECOND = 0.001;

}

ColdRateLimiter::ColdRateLimiter(double callsPerSecond) { setRate(callsPerSecond); }

void ColdRateLimiter::setRate(double callsPerSecond)
{
    double rate = std::max(callsPerSecond, MIN_RATE_PER_SECOND);
    bool wasFull = m_starts.size() >= m_calls && !m_starts.empty();
    m_calls = std::max<size_t>(1, static_cast<size_t>(std::floor(rate)));
    m_window = rate >= 1 ? SECOND
                         : std::chrono::duration_cast<base::Instant::duration>(std::chrono::duration<double>(1 / rate));
    m_window += TRAVEL_JITTER;
    while (m_starts.size() > m_calls)
        m_starts.pop_front();
    // Starts before the oldest recorded one may lie within the window too, so they are assumed to be as late as it.
    while (wasFull && m_starts.size() < m_calls)
        m_starts.push_front(m_starts.front());
}

void ColdRateLimiter::onStarted(base::Instant now)
{
    if (m_starts.size() >= m_calls)
        m_starts.pop_front();
    m_starts.push_back(now);
}

double ColdRateLimiter::waitMs(int n, base::Instant now) const
{
    // The position of the call in the sequence of recorded and further starts. Each call waits for the window of the
    // one that is m_calls places earlier to end.
    auto position = static_cast<int64_t>(m_starts.size()) + std::max(1, n) - 1;
    auto calls = static_cast<int64_t>(m_calls);
    auto recorded = static_cast<int64_t>(m_starts.size());
    int64_t windows = std::max<int64_t>(0, (position - recorded) / calls);
    int64_t earlier = position - (windows + 1) * calls;
    if (earlier >= recorded) {
        ++windows;
        earlier -= calls;
    }
    auto start = now;
    if (earlier >= 0)
        start = std::max(now, m_starts[static_cast<size_t>(earlier)] + m_window);
    start += m_window * windows;
    return std::chrono::duration<double, std::milli>(start - now).count();
}

} // namespace pomelowind::targets
