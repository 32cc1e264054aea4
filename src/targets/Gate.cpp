#include "pomelowind/targets/Gate.h"

#include <algorithm>

namespace pomelowind::targets {

namespace {

    constexpr double COLD_SHARE = 0.25;
    constexpr double SERVICE_SMOOTHING = 0.1;
    constexpr size_t MAX_ACCOUNTS = 1024;
    constexpr base::Millis LEAST_RETRY_AFTER(100);

}

Gate::Gate(GateOptions options, base::Instant now)
    : m_options(options)
    , m_started(now)
{
}

int Gate::limit(base::Instant now) const
{
    if (!isCold(now) || !m_options.limited)
        return m_options.slots;
    double passed = std::chrono::duration<double>(now - m_started) / std::chrono::duration<double>(m_options.coldStart);
    double share = COLD_SHARE + (1 - COLD_SHARE) * passed;
    return std::max(1, static_cast<int>(m_options.slots * share));
}

// The queue ahead is worked off by all slots at the target's own pace.
bool Gate::canMeetDeadline(const GateCall& call, base::Instant now) const
{
    double waitMs = m_serviceMs * (static_cast<double>(m_queue.size()) / std::max(1, m_options.slots) + 1);
    return now + base::Millis(static_cast<int64_t>(waitMs)) <= call.deadline;
}

GateVerdict Gate::admit(const GateCall& call, base::Instant now, std::optional<uint64_t>& shed)
{
    if (m_leaving)
        return GateVerdict::Leaving;
    if (!m_options.limited || (m_queue.empty() && m_running < limit(now))) {
        ++m_running;
        return GateVerdict::Run;
    }
    if (!canMeetDeadline(call, now))
        return GateVerdict::Overloaded;
    if (static_cast<double>(m_queue.size()) >= m_options.slots * m_options.queuePerSlot) {
        auto victim = firstToShed(call);
        if (victim == m_queue.end())
            return GateVerdict::Overloaded;
        shed = victim->id;
        cancel(victim->id);
    }
    m_queue.push_back(call);
    ++m_waitingByAccount[call.account];
    return GateVerdict::Queued;
}

// The call that makes room for `call`: of the lowest priority below its own, or of its own priority from an account
// with more calls waiting. The newest of that account goes, because the oldest will run soonest.
std::list<GateCall>::iterator Gate::firstToShed(const GateCall& call)
{
    auto worst = m_queue.end();
    for (auto it = m_queue.begin(); it != m_queue.end(); ++it) {
        if (it->priority > call.priority)
            continue;
        bool sameRank = it->priority == call.priority;
        if (sameRank && m_waitingByAccount[it->account] <= m_waitingByAccount[call.account] + 1)
            continue;
        if (worst == m_queue.end() || it->priority < worst->priority
            || (it->priority == worst->priority
                && m_waitingByAccount[it->account] >= m_waitingByAccount[worst->account]))
            worst = it;
    }
    return worst;
}

// Highest priority first; within one priority the account that was served longest ago.
std::list<GateCall>::iterator Gate::nextToRun()
{
    auto best = m_queue.begin();
    for (auto it = std::next(best); it != m_queue.end(); ++it) {
        if (it->priority != best->priority) {
            if (it->priority > best->priority)
                best = it;
            continue;
        }
        if (m_lastServed[it->account] < m_lastServed[best->account])
            best = it;
    }
    return best;
}

GateStep Gate::fill(base::Instant now)
{
    GateStep step = expire(now);
    while (!m_queue.empty() && m_running < limit(now)) {
        auto it = nextToRun();
        if (m_lastServed.size() > MAX_ACCOUNTS)
            m_lastServed.clear();
        m_lastServed[it->account] = ++m_turn;
        step.run.push_back(it->id);
        cancel(it->id);
        ++m_running;
    }
    return step;
}

GateStep Gate::finished(base::Millis took, base::Instant now)
{
    --m_running;
    m_serviceMs += SERVICE_SMOOTHING * (static_cast<double>(took.count()) - m_serviceMs);
    return fill(now);
}

GateStep Gate::expire(base::Instant now)
{
    GateStep step;
    for (const auto& it : m_queue) {
        if (now + base::Millis(static_cast<int64_t>(m_serviceMs)) > it.deadline)
            step.refuse.push_back(it.id);
    }
    for (uint64_t id : step.refuse)
        cancel(id);
    return step;
}

bool Gate::cancel(uint64_t id)
{
    auto it = std::find_if(m_queue.begin(), m_queue.end(), [&](const GateCall& call) { return call.id == id; });
    if (it == m_queue.end())
        return false;
    auto waiting = m_waitingByAccount.find(it->account);
    if (--waiting->second == 0)
        m_waitingByAccount.erase(waiting);
    m_queue.erase(it);
    return true;
}

GateStep Gate::leave()
{
    m_leaving = true;
    GateStep step;
    for (const auto& it : m_queue)
        step.refuse.push_back(it.id);
    m_queue.clear();
    m_waitingByAccount.clear();
    return step;
}

base::Millis Gate::retryAfter() const
{
    double waitMs = m_serviceMs * static_cast<double>(m_queue.size() + 1) / std::max(1, m_options.slots);
    return std::max(LEAST_RETRY_AFTER, base::Millis(static_cast<int64_t>(waitMs)));
}

} // namespace pomelowind::targets
