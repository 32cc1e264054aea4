#include "pomelowind/callers/VersionSplitter.h"

#include <algorithm>

namespace pomelowind::callers {

namespace {

    constexpr int64_t FULL_PERMILLE = 1000;

}

const std::string& VersionSplitter::choose(
    const wire::ServiceResource& service, base::Instant beaconAt, base::Instant now)
{
    bool granted = !service.candidate.empty() && service.permille > 0 && !isSuppressed(service.moveId)
        && beaconAt != base::Instant() && now - beaconAt < base::Millis(service.grantMs);
    if (!granted)
        return service.stable;
    auto& split = m_splits[service.name];
    if (split.moveId != service.moveId || split.permille != service.permille) {
        // The credit of an earlier step of the move is not carried over.
        split = { service.moveId, service.permille, 0 };
    }
    split.credit += service.permille;
    if (split.credit < FULL_PERMILLE)
        return service.stable;
    split.credit -= FULL_PERMILLE;
    return service.candidate;
}

void VersionSplitter::returnCredit(const wire::ServiceResource& service)
{
    auto& split = m_splits[service.name];
    split.credit = std::min(split.credit + FULL_PERMILLE, FULL_PERMILLE - 1);
}

} // namespace pomelowind::callers
