// Splits the requests of a route over services by weight. The node uses it to choose the service of a request. On one
// node the shares of a two-way split are exact to within one request. Over all nodes the shares are right from the
// first request on, because each node starts at a random phase.
#pragma once

#include "pomelowind/base/Random.h"
#include "pomelowind/base/Wire.h"

#include <map>
#include <string>
#include <vector>

namespace pomelowind::callers {

// Thread safety: confined to the calls event loop.
class WeightedSplitter {
public:
    explicit WeightedSplitter(uint64_t seed);
    // Returns the service for the next request of `route`. Precondition: the split of the route has a weight above 0.
    const std::string& choose(const wire::Route& route);

private:
    // For each part of the split, the accumulated fraction of a request that is due to it, out of the requests that the
    // preceding parts did not receive.
    using Phases = std::vector<double>;

    base::Random m_random;
    std::map<std::string, Phases> m_phases; // by route
};

} // namespace pomelowind::callers
