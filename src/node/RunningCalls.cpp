#include "RunningCalls.h"

namespace pomelowind::node {

void RunningCalls::begin(const std::string& requestId, std::optional<base::Instant> objective)
{
    if (!requestId.empty())
        m_objectives.emplace(requestId, objective.value_or(base::Instant::max()));
}

void RunningCalls::end(const std::string& requestId)
{
    auto it = m_objectives.find(requestId);
    if (it != m_objectives.end())
        m_objectives.erase(it);
}

std::optional<base::Instant> RunningCalls::objectiveOf(const std::string& requestId) const
{
    auto it = m_objectives.find(requestId);
    return it == m_objectives.end() ? std::nullopt : std::optional(it->second);
}

} // namespace pomelowind::node
