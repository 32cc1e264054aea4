#include "pomelowind/targets/AcceptedRate.h"

namespace pomelowind::targets {

bool AcceptedRate::onResponse(std::optional<double> callsPerSecond, base::Instant sentAt, base::Instant now)
{
    m_hasResponse = true;
    bool admitsMore = m_callsPerSecond && (!callsPerSecond || *callsPerSecond > *m_callsPerSecond);
    if (admitsMore && sentAt <= m_confirmedAt)
        return false;
    if (callsPerSecond)
        m_confirmedAt = now;
    bool changed = m_callsPerSecond != callsPerSecond;
    m_callsPerSecond = callsPerSecond;
    return changed;
}

bool AcceptedRate::onHint(double callsPerSecond)
{
    if (m_hasResponse || (m_callsPerSecond && *m_callsPerSecond <= callsPerSecond))
        return false;
    m_callsPerSecond = callsPerSecond;
    return true;
}

} // namespace pomelowind::targets
