#include "pomelowind/callers/WeightedSplitter.h"

namespace pomelowind::callers {

WeightedSplitter::WeightedSplitter(uint64_t seed)
    : m_random(seed)
{
}

// Each part receives its share of the requests that the preceding parts did not receive. The phases are kept when
// weights change: a phase that is uniformly distributed stays so (modulo 1) whatever is added to it, so no restart is
// needed.
const std::string& WeightedSplitter::choose(const wire::Route& route)
{
    auto& phases = m_phases[route.name];
    while (phases.size() < route.split.size())
        phases.push_back(m_random.uniformReal());
    int64_t remainingWeight = 0;
    for (const auto& it : route.split)
        remainingWeight += it.weight;
    for (size_t i = 0; i < route.split.size(); ++i) {
        const auto& part = route.split[i];
        if (part.weight <= 0)
            continue;
        if (part.weight == remainingWeight)
            return part.serviceName;
        phases[i] += static_cast<double>(part.weight) / static_cast<double>(remainingWeight);
        if (phases[i] >= 1) {
            phases[i] -= 1;
            return part.serviceName;
        }
        remainingWeight -= part.weight;
    }
    return route.split.back().serviceName;
}

} // namespace pomelowind::callers
