#include "pomelowind/callers/WeightedSplitter.h"

#include <algorithm>

namespace pomelowind::callers {

const std::string& WeightedSplitter::choose(const wire::Route& route)
{
    auto& split = m_splits[route.name];
    if (split.parts != route.split) {
        split.parts = route.split;
        split.credit.assign(route.split.size(), 0);
    }
    int64_t total = 0;
    for (size_t i = 0; i < split.parts.size(); ++i) {
        split.credit[i] += split.parts[i].weight;
        total += split.parts[i].weight;
    }
    auto most = std::max_element(split.credit.begin(), split.credit.end());
    *most -= total;
    return route.split[static_cast<size_t>(most - split.credit.begin())].serviceName;
}

} // namespace pomelowind::callers
