// Splits a service's calls between its stable version and the candidate of a move. The split is exact: after n calls
// the candidate has had at most its share of n, so exposure never exceeds what was granted.
#pragma once

#include "pomelowind/base/Time.h"
#include "pomelowind/base/Wire.h"

#include <map>
#include <set>
#include <string>

namespace pomelowind::callers {

// Thread safety: confined to the calls duty.
class VersionSplitter {
public:
    // The version for the next call. The candidate's grant holds for service.grantMs after `beaconAt`; a node that has
    // not heard the leader for longer exposes nothing.
    const std::string& choose(const wire::ServiceResource& service, base::Instant beaconAt, base::Instant now);
    // This node has seen the candidate of `moveId` fail and sends it nothing more.
    void suppress(const std::string& moveId) { m_suppressed.insert(moveId); }
    bool isSuppressed(const std::string& moveId) const { return m_suppressed.count(moveId) > 0; }
    // A call meant for the candidate went to the stable version instead.
    void giveBack(const wire::ServiceResource& service);

private:
    struct Split {
        std::string moveId;
        int32_t permille { 0 };
        int64_t credit { 0 };
    };

    std::map<std::string, Split> m_splits;
    std::set<std::string> m_suppressed;
};

} // namespace pomelowind::callers
