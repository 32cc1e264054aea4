// Spreads the requests of a route over services by weight. On one node two parts keep their shares to within one
// request; over all nodes the shares hold from the first request on, because each node begins at a random phase.
#pragma once

#include "pomelowind/base/Random.h"
#include "pomelowind/base/Wire.h"

#include <map>
#include <string>
#include <vector>

namespace pomelowind::callers {

// Thread safety: confined to the calls duty.
class WeightedSplitter {
public:
    explicit WeightedSplitter(uint64_t seed);
    // The service for the next request of `route`. Precondition: the route has a split with a weight above 0.
    const std::string& choose(const wire::Route& route);

private:
    // For each part the fraction of a request that it has saved up, among the requests that the parts before it left.
    using Phases = std::vector<double>;

    base::Random m_random;
    std::map<std::string, Phases> m_phases; // by route
};

} // namespace pomelowind::callers
