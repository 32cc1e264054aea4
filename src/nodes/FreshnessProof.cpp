#include "pomelowind/nodes/FreshnessProof.h"

#include <algorithm>

namespace pomelowind::nodes {

using base::Instant;
using base::Millis;

namespace {

    // Clocks that are being adjusted differ in rate by up to 0.1%, and each host on the way rounds by up to 2 ms.
    constexpr int MARGIN_PERCENT = 2;
    constexpr auto MAX_REQUEST_PERIOD = Millis(500);
    // Each relay on the way adds a period to the age of a proof.
    constexpr auto MAX_REQUEST_PERIOD_WITH_RELAYS = Millis(250);
    constexpr int PERIODS_PER_LEASE = 10;
    // Requests that may still be answered: more than 6 s of them at the shortest period.
    constexpr size_t MAX_SENDS = 64;
    // Versions follow each other faster than deltas arrive only for a short time.
    constexpr size_t MAX_PENDING = 16;

}

Millis LeaseBounds::length() const { return revoke - revoke * MARGIN_PERCENT / 100; }

Millis LeaseBounds::requestPeriod(bool relays) const
{
    return std::min(relays ? MAX_REQUEST_PERIOD_WITH_RELAYS : MAX_REQUEST_PERIOD, revoke / PERIODS_PER_LEASE);
}

wire::FreshnessRequest FreshnessProof::request(Instant now)
{
    wire::FreshnessRequest out;
    // Rounding down makes the proof start earlier.
    out.sentAt = std::chrono::floor<Millis>(now.time_since_epoch()).count();
    m_sends.push_back(out.sentAt);
    if (m_sends.size() > MAX_SENDS)
        m_sends.pop_front();
    return out;
}

void FreshnessProof::onAnswer(const wire::FreshnessAnswer& answer)
{
    if (answer.ageMs < 0 || std::find(m_sends.begin(), m_sends.end(), answer.sentAt) == m_sends.end())
        return;
    if (answer.ageMs > answer.sentAt)
        return;
    m_pending.push_back({ Instant(Millis(answer.sentAt - answer.ageMs)), answer.version });
    settle();
    if (m_pending.size() > MAX_PENDING)
        m_pending.pop_front();
}

void FreshnessProof::setVersion(int64_t version)
{
    if (version <= m_version)
        return;
    m_version = version;
    settle();
}

void FreshnessProof::proveAsLeader(Instant now) { m_provenAt = std::max(m_provenAt.value_or(now), now); }

wire::FreshnessAnswer FreshnessProof::answer(const wire::FreshnessRequest& request, Instant now) const
{
    wire::FreshnessAnswer out;
    out.sentAt = request.sentAt;
    out.version = m_version;
    // Rounding up makes the proof start earlier.
    out.ageMs = m_provenAt ? std::max<int64_t>(0, std::chrono::ceil<Millis>(now - *m_provenAt).count()) : -1;
    return out;
}

// Takes over the statements about versions that the process runs.
void FreshnessProof::settle()
{
    std::erase_if(m_pending, [this](const Statement& it) {
        if (it.version > m_version)
            return false;
        m_provenAt = std::max(m_provenAt.value_or(it.start), it.start);
        return true;
    });
}

} // namespace pomelowind::nodes
