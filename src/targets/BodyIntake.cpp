#include "pomelowind/targets/BodyIntake.h"

#include <algorithm>

namespace pomelowind::targets {

namespace {

    // Keeps a link busy for a round trip between data centres, and delays small calls by about 50 ms at 11 Mbit/s.
    constexpr size_t MOST_ON_THE_WAY = 64 * 1024;
    // 8 Mbit/s, assumed until the throughput of the link was measured.
    constexpr double FIRST_BYTES_PER_MS = 1000;
    constexpr double RATE_SMOOTHING = 0.2;
    // A measurement over fewer bytes reflects the round trip rather than the throughput.
    constexpr size_t TELLING_BYTES = 128 * 1024;

}

BodyIntake::BodyIntake()
    : m_bytesPerMs(FIRST_BYTES_PER_MS)
{
}

bool BodyIntake::isInTime(size_t bytes, base::Millis left, Lane lane) const
{
    auto ahead = static_cast<double>(m_onTheWay + m_inTime.bytes + (lane == Lane::Late ? m_late.bytes : 0) + bytes);
    return ahead <= m_bytesPerMs * static_cast<double>(std::max<int64_t>(0, left.count()));
}

void BodyIntake::queue(uint64_t id, size_t bytes, Lane lane)
{
    m_bodies[id] = { bytes, lane, false };
    waitingIn(lane).ids.push_back(id);
    waitingIn(lane).bytes += bytes;
}

std::vector<uint64_t> BodyIntake::grant(base::Instant now)
{
    std::vector<uint64_t> out;
    while (m_onTheWay < MOST_ON_THE_WAY && !(m_inTime.ids.empty() && m_late.ids.empty())) {
        auto& from = m_inTime.ids.empty() ? m_late : m_inTime;
        uint64_t id = from.ids.front();
        from.ids.pop_front();
        auto it = m_bodies.find(id);
        if (it == m_bodies.end() || it->second.isGranted)
            continue;
        if (!m_onTheWay) {
            m_busySince = now;
            m_busyBytes = 0;
        }
        it->second.isGranted = true;
        from.bytes -= it->second.rest;
        m_onTheWay += it->second.rest;
        out.push_back(id);
    }
    return out;
}

void BodyIntake::arrived(uint64_t id, size_t bytes, base::Instant now)
{
    auto it = m_bodies.find(id);
    if (it == m_bodies.end())
        return;
    bytes = std::min(bytes, it->second.rest);
    it->second.rest -= bytes;
    m_onTheWay -= bytes;
    learnRate(bytes, now);
    if (!it->second.rest)
        m_bodies.erase(it);
}

// Updates the throughput estimate. grant() restarts the measurement when no bytes were in flight, because only
// uninterrupted transfer shows what the link can carry.
void BodyIntake::learnRate(size_t bytes, base::Instant now)
{
    m_busyBytes += bytes;
    auto ms = std::chrono::duration<double, std::milli>(now - m_busySince).count();
    if (m_busyBytes < TELLING_BYTES || ms <= 0)
        return;
    m_bytesPerMs += RATE_SMOOTHING * (static_cast<double>(m_busyBytes) / ms - m_bytesPerMs);
    m_busySince = now;
    m_busyBytes = 0;
}

void BodyIntake::dropped(uint64_t id)
{
    auto it = m_bodies.find(id);
    if (it == m_bodies.end())
        return;
    (it->second.isGranted ? m_onTheWay : waitingIn(it->second.lane).bytes) -= it->second.rest;
    m_bodies.erase(it);
}

} // namespace pomelowind::targets
