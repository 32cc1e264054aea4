// Splits the calls of a service between its stable version and the candidate version of a move. The node uses it before
// a target is chosen. The split is exact: after n calls the candidate has received at most its share of n, so the
// exposure never exceeds the granted share.
#pragma once

#include "pomelowind/base/Time.h"
#include "pomelowind/base/Wire.h"

#include <map>
#include <set>
#include <string>

namespace pomelowind::callers {

// Thread safety: confined to the calls event loop.
class VersionSplitter {
public:
    // Returns the version for the next call. The candidate may receive calls for service.grantMs after `beaconAt`, the
    // time of the leader's last beacon. Without a beacon for longer than that, all calls go to the stable version.
    const std::string& choose(const wire::ServiceResource& service, base::Instant beaconAt, base::Instant now);
    // Stops calls to the candidate of `moveId`, after this node has seen it fail.
    void suppress(const std::string& moveId) { m_suppressed.insert(moveId); }
    bool isSuppressed(const std::string& moveId) const { return m_suppressed.count(moveId) > 0; }
    // Returns the credit of a call that choose() gave to the candidate, but that went to the stable version.
    void returnCredit(const wire::ServiceResource& service);

private:
    struct Split {
        std::string moveId;
        int32_t permille { 0 };
        int64_t credit { 0 }; // thousandths of a call that the candidate may still receive
    };

    std::map<std::string, Split> m_splits;
    std::set<std::string> m_suppressed;
};

} // namespace pomelowind::callers
