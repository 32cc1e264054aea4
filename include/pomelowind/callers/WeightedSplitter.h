// Spreads the requests of a route over services by weight. The spread is exact: after n requests each service has had
// its part of n to within one request, so the observed shares do not depend on luck.
#pragma once

#include "pomelowind/base/Wire.h"

#include <map>
#include <string>
#include <vector>

namespace pomelowind::callers {

// Thread safety: confined to the calls duty.
class WeightedSplitter {
public:
    // The service for the next request of `route`. Precondition: the route has a split with a weight above 0.
    const std::string& choose(const wire::Route& route);

private:
    struct Split {
        std::vector<wire::SplitPart> parts;
        std::vector<int64_t> credit;
    };

    std::map<std::string, Split> m_splits; // by route
};

} // namespace pomelowind::callers
