#include "pomelowind/targets/BodyFlowControl.h"

#include <algorithm>

namespace pomelowind::targets {

namespace {

    // Body transfers are permitted while fewer bytes are in flight, so the last one may exceed the limit. Keeps a link
    // busy for a round trip between data centres, and delays small calls by about 50 ms at 11 Mbit/s.
    constexpr size_t MAX_BYTES_IN_FLIGHT = 64 * 1024;
    // 8 Mbit/s, assumed until the throughput of the link was measured.
    constexpr double INITIAL_BYTES_PER_MS = 1000;
    constexpr double RATE_SMOOTHING = 0.2;
    // A measurement over fewer bytes reflects the round trip rather than the throughput.
    constexpr size_t MIN_MEASURED_BYTES = 128 * 1024;

}

BodyFlowControl::BodyFlowControl()
    : m_bytesPerMs(INITIAL_BYTES_PER_MS)
{
}

bool BodyFlowControl::canArriveInTime(size_t bytes, base::Millis left, Lane lane) const
{
    auto bytesAhead = static_cast<double>(
        m_bytesInFlight + m_inTimeQueue.bytes + (lane == Lane::Late ? m_lateQueue.bytes : 0) + bytes);
    return bytesAhead <= m_bytesPerMs * static_cast<double>(std::max<int64_t>(0, left.count()));
}

void BodyFlowControl::enqueue(uint64_t id, size_t bytes, Lane lane)
{
    m_bodies[id] = { bytes, lane, false };
    queueOf(lane).ids.push_back(id);
    queueOf(lane).bytes += bytes;
}

std::vector<uint64_t> BodyFlowControl::grant(base::Instant now)
{
    std::vector<uint64_t> out;
    while (m_bytesInFlight < MAX_BYTES_IN_FLIGHT && !(m_inTimeQueue.ids.empty() && m_lateQueue.ids.empty())) {
        auto& from = m_inTimeQueue.ids.empty() ? m_lateQueue : m_inTimeQueue;
        uint64_t id = from.ids.front();
        from.ids.pop_front();
        auto it = m_bodies.find(id);
        if (it == m_bodies.end() || it->second.isGranted)
            continue;
        if (!m_bytesInFlight) {
            m_measuredSince = now;
            m_measuredBytes = 0;
        }
        it->second.isGranted = true;
        from.bytes -= it->second.remaining;
        m_bytesInFlight += it->second.remaining;
        out.push_back(id);
    }
    return out;
}

void BodyFlowControl::onBytesReceived(uint64_t id, size_t bytes, base::Instant now)
{
    auto it = m_bodies.find(id);
    if (it == m_bodies.end())
        return;
    bytes = std::min(bytes, it->second.remaining);
    it->second.remaining -= bytes;
    m_bytesInFlight -= bytes;
    updateRate(bytes, now);
    if (!it->second.remaining)
        m_bodies.erase(it);
}

// Updates the throughput estimate. grant() restarts the measurement when no bytes were in flight, because only
// uninterrupted transfer shows what the link can carry.
void BodyFlowControl::updateRate(size_t bytes, base::Instant now)
{
    m_measuredBytes += bytes;
    auto ms = std::chrono::duration<double, std::milli>(now - m_measuredSince).count();
    if (m_measuredBytes < MIN_MEASURED_BYTES || ms <= 0)
        return;
    m_bytesPerMs += RATE_SMOOTHING * (static_cast<double>(m_measuredBytes) / ms - m_bytesPerMs);
    m_measuredSince = now;
    m_measuredBytes = 0;
}

void BodyFlowControl::remove(uint64_t id)
{
    auto it = m_bodies.find(id);
    if (it == m_bodies.end())
        return;
    (it->second.isGranted ? m_bytesInFlight : queueOf(it->second.lane).bytes) -= it->second.remaining;
    m_bodies.erase(it);
}

} // namespace pomelowind::targets
