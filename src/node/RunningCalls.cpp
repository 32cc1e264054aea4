#include "RunningCalls.h"

namespace pomelowind::node {

namespace {

    // Bound on the abandoned requests that are remembered. A node has a few at a time; without an entry, nested calls
    // of such a request are refused as calls without a key.
    constexpr size_t MAX_ABANDONED = 1024;

}

void RunningCalls::begin(const std::string& requestId, std::optional<base::Instant> objective, int priority)
{
    if (!requestId.empty())
        m_running.emplace(requestId, Running { objective.value_or(base::Instant::max()), priority });
}

void RunningCalls::end(const std::string& requestId)
{
    auto it = m_running.find(requestId);
    if (it != m_running.end())
        m_running.erase(it);
}

void RunningCalls::abandon(const std::string& requestId, base::Instant deadline)
{
    if (requestId.empty())
        return;
    if (m_abandoned.size() >= MAX_ABANDONED)
        m_abandoned.clear();
    m_abandoned[requestId] = deadline;
}

bool RunningCalls::mayStillRun(const std::string& requestId, base::Instant now) const
{
    auto it = m_abandoned.find(requestId);
    return it != m_abandoned.end() && now < it->second;
}

std::optional<base::Instant> RunningCalls::objectiveOf(const std::string& requestId) const
{
    auto it = m_running.find(requestId);
    return it == m_running.end() ? std::nullopt : std::optional(it->second.objective);
}

std::optional<int> RunningCalls::priorityOf(const std::string& requestId) const
{
    auto it = m_running.find(requestId);
    return it == m_running.end() ? std::nullopt : std::optional(it->second.priority);
}

} // namespace pomelowind::node
