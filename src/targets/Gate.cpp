#include "pomelowind/targets/Gate.h"

#include <algorithm>
#include <cmath>

namespace pomelowind::targets {

namespace {

    constexpr double SERVICE_SMOOTHING = 0.1;
    // Calls needed for a reliable average: the standard deviation of service times is about their mean.
    constexpr int TELLING_CALLS = 8;
    // Bounds the state kept by account and by kind of call.
    constexpr size_t MAX_ACCOUNTS = 1024;
    constexpr base::Millis LEAST_RETRY_AFTER(100);
    constexpr int HIGHEST_PRIORITY = 9;
    constexpr int RANKS_PER_PRIORITY = 2; // nested calls, and others
    // Added to the rank of calls that can no longer meet their objective, so that they run behind all that can.
    constexpr int LATE_RANK = 100;
    // Approximate ratio of the median service time to the mean, which a few very long calls raise. A call with less
    // time left than the median is more likely to be late than in time.
    constexpr double TYPICAL_PART = 0.8;
    // Maximum ratio of the expected wait of a late call to its time left, so that it can still be tried elsewhere.
    constexpr double LATE_WAIT_PART = 0.4;
    // Multiple of the mean service time that few calls exceed unless the target is slow; service times scatter by about
    // their mean.
    constexpr double LONG_RUN = 3;
    // Time constant for averaging the offered work: shorter than a burst of callers, longer than a call.
    constexpr double WORK_WINDOW_MS = 1000;
    // Maximum share of the slots that calls of lower ranks are assumed to take. Their load fluctuates; with a higher
    // maximum the wait estimate refuses calls that would have been in time and are then retried.
    constexpr double MOST_TAKEN = 0.5;
    // The same for late calls, which run only in slots that no other call needs. They are refused rather than queued if
    // such a slot is unlikely to become free.
    constexpr double MOST_TAKEN_BEFORE_LATE = 0.95;

    // Calls with a higher urgency run first as long as they can meet their objective, and are shed last.
    int urgency(const GateCall& call) { return RANKS_PER_PRIORITY * call.priority + (call.nested ? 1 : 0); }

    constexpr int HIGHEST_URGENCY = RANKS_PER_PRIORITY * HIGHEST_PRIORITY + 1;

    double toMs(base::Instant::duration d) { return std::chrono::duration<double, std::milli>(d).count(); }

}

Gate::Gate(GateOptions options, base::Instant now)
    : m_options(options)
    , m_started(now)
    , m_workAt(now)
{
}

int Gate::limit(base::Instant now) const
{
    if (!isCold(now) || !m_options.limited)
        return m_options.slots;
    double passed = std::chrono::duration<double>(now - m_started) / std::chrono::duration<double>(m_options.coldStart);
    double share = m_options.coldShare + (1 - m_options.coldShare) * passed;
    return std::max(1, static_cast<int>(m_options.slots * share));
}

double Gate::serviceMs(const std::string& kind) const
{
    auto it = m_serviceByKind.find(kind);
    return it == m_serviceByKind.end() ? m_serviceMs : it->second.ms;
}

double Gate::typicalMs(const std::string& kind) const
{
    auto it = m_serviceByKind.find(kind);
    return it == m_serviceByKind.end() || it->second.calls < TELLING_CALLS ? 0 : it->second.ms;
}

bool Gate::canMeetObjective(const GateCall& call, double waitMs, base::Instant now) const
{
    return !call.objective || toMs(*call.objective - now) >= waitMs + TYPICAL_PART * serviceMs(call.kind);
}

bool Gate::canMeetDeadline(const GateCall& call, double waitMs, base::Instant now) const
{
    return toMs(call.deadline - now) >= waitMs + serviceMs(call.kind);
}

// Returns the position of a call in the order of execution: lower ranks run first.
int Gate::rank(const GateCall& call, base::Instant now) const
{
    int out = HIGHEST_URGENCY - urgency(call);
    return canMeetObjective(call, 0, now) ? out : out + LATE_RANK;
}

// Returns the share of the slots that calls of lower ranks are expected to take.
double Gate::shareTakenBefore(int rank) const
{
    double work = 0;
    for (const auto& [other, ms] : m_work) {
        if (other < rank)
            work += ms;
    }
    return std::min(
        rank < LATE_RANK ? MOST_TAKEN : MOST_TAKEN_BEFORE_LATE, work / (WORK_WINDOW_MS * std::max(1, m_options.slots)));
}

// Adds the expected service time of an admitted call to the moving average of offered work by rank.
void Gate::countWork(int rank, double serviceMs, base::Instant now)
{
    double keep = std::exp(-toMs(now - m_workAt) / WORK_WINDOW_MS);
    m_workAt = now;
    for (auto& [other, ms] : m_work)
        ms *= keep;
    m_work[rank] += serviceMs;
}

// Returns the expected wait, given that the queued calls ahead are served by the slots that calls of lower ranks leave
// free.
double Gate::expectedWaitMs(int rank, base::Instant now) const
{
    auto ahead = std::count_if(
        m_queue.begin(), m_queue.end(), [&](const GateCall& it) { return this->rank(it, now) <= rank; });
    double turnMs = m_serviceMs / std::max(1, m_options.slots);
    return turnMs * static_cast<double>(ahead + 1) / (1 - shareTakenBefore(rank));
}

// Returns true if a call can still be served in time after waiting in the queue. A call that would miss its objective
// is checked again as a late call.
bool Gate::mayQueue(const GateCall& call, base::Instant now) const
{
    int own = rank(call, now);
    if (expectedWaitMs(own, now) > static_cast<double>(call.mostWait.count()))
        return false;
    if (own < LATE_RANK) {
        double waitMs = expectedWaitMs(own, now);
        if (call.nested)
            return canMeetDeadline(call, waitMs, now);
        if (canMeetObjective(call, waitMs, now) && canMeetDeadline(call, waitMs, now))
            return true;
        if (!call.objective)
            return false;
        own += LATE_RANK;
    }
    double waitMs = expectedWaitMs(own, now);
    return waitMs <= LATE_WAIT_PART * toMs(call.deadline - now) && canMeetDeadline(call, waitMs, now);
}

GateVerdict Gate::admit(const GateCall& call, base::Instant now, std::optional<uint64_t>& shed)
{
    if (m_leaving)
        return GateVerdict::Leaving;
    expectService(call);
    bool hasRoom = !m_options.limited || (!hasReady() && m_running < limit(now));
    bool runs = hasRoom && call.ready;
    if (!hasRoom && (!call.mayWait || !mayQueue(call, now)))
        return GateVerdict::Overloaded;
    int own = rank(call, now);
    // The sender has other targets to try, one of which may be faster. It tries this one again without the restriction
    // if none is.
    bool isAlternative = !call.mayWait || call.mostWait != base::Millis::max();
    if (isAlternative && !call.nested && own >= LATE_RANK)
        return GateVerdict::Overloaded;
    countWork(own, serviceMs(call.kind), now);
    if (runs) {
        ++m_running;
        return GateVerdict::Run;
    }
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

// Returns the queued call to evict in favour of `call`, or the end of the queue. It has the lowest urgency below that
// of `call`, or the same urgency and an account with more queued calls. The newest call of that account is evicted,
// because the oldest will run soonest.
Gate::Queue::iterator Gate::firstToShed(const GateCall& call)
{
    auto worst = m_queue.end();
    for (auto it = m_queue.begin(); it != m_queue.end(); ++it) {
        if (urgency(*it) > urgency(call))
            continue;
        bool sameRank = urgency(*it) == urgency(call);
        if (sameRank && m_waitingByAccount[it->account] <= m_waitingByAccount[call.account] + 1)
            continue;
        if (worst == m_queue.end() || urgency(*it) < urgency(*worst)
            || (urgency(*it) == urgency(*worst)
                && m_waitingByAccount[it->account] >= m_waitingByAccount[worst->account]))
            worst = it;
    }
    return worst;
}

bool Gate::hasReady() const
{
    return std::any_of(m_queue.begin(), m_queue.end(), [](const GateCall& it) { return it.ready; });
}

GateStep Gate::becameReady(uint64_t id, base::Instant now)
{
    for (auto& it : m_queue) {
        if (it.id == id)
            it.ready = true;
    }
    return fill(now);
}

// Returns the ready call of the lowest rank; within a rank, of the account that was served least recently.
Gate::Queue::iterator Gate::nextToRun(base::Instant now)
{
    auto best = m_queue.end();
    int bestRank = 0;
    for (auto it = m_queue.begin(); it != m_queue.end(); ++it) {
        if (!it->ready)
            continue;
        int own = rank(*it, now);
        bool isLater = best != m_queue.end()
            && (own > bestRank || (own == bestRank && m_lastServed[it->account] >= m_lastServed[best->account]));
        if (isLater)
            continue;
        best = it;
        bestRank = own;
    }
    return best;
}

// Refuses queued calls that can no longer meet their deadline, then fills the free slots from the queue.
GateStep Gate::fill(base::Instant now)
{
    GateStep step = expire(now);
    while (m_running < limit(now)) {
        auto it = nextToRun(now);
        if (it == m_queue.end())
            break;
        if (m_lastServed.size() > MAX_ACCOUNTS)
            m_lastServed.clear();
        m_lastServed[it->account] = ++m_turn;
        step.run.push_back(it->id);
        cancel(it->id);
        ++m_running;
    }
    return step;
}

GateStep Gate::finished(const std::string& kind, std::optional<base::Millis> took, base::Instant now)
{
    --m_running;
    if (took)
        learnService(kind, *took);
    return fill(now);
}

bool Gate::runsLong(const std::string& kind, base::Millis elapsed)
{
    auto it = m_serviceByKind.find(kind);
    if (it == m_serviceByKind.end() || static_cast<double>(elapsed.count()) < LONG_RUN * it->second.ms)
        return false;
    learnService(kind, elapsed);
    return true;
}

// Assumes the average service time over all targets until calls of the kind have ended at this one.
void Gate::expectService(const GateCall& call)
{
    if (call.usualRun <= base::Millis(0) || m_serviceByKind.size() >= MAX_ACCOUNTS)
        return;
    auto ms = static_cast<double>(call.usualRun.count());
    m_serviceByKind.try_emplace(call.kind, Service { ms, 0 });
}

void Gate::learnService(const std::string& kind, base::Millis took)
{
    auto ms = static_cast<double>(took.count());
    m_serviceMs += SERVICE_SMOOTHING * (ms - m_serviceMs);
    if (m_serviceByKind.size() >= MAX_ACCOUNTS && !m_serviceByKind.count(kind))
        return;
    auto& service = m_serviceByKind[kind];
    double weight = std::max(SERVICE_SMOOTHING, 1.0 / ++service.calls);
    service.ms += weight * (ms - service.ms);
}

GateStep Gate::expire(base::Instant now)
{
    GateStep step;
    for (const auto& it : m_queue) {
        if (!canMeetDeadline(it, 0, now))
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
    // A target that refuses a call although it has free slots may admit the next one.
    if (m_queue.empty() && m_running < m_options.slots)
        return base::Millis(0);
    double waitMs = m_serviceMs * static_cast<double>(m_queue.size() + 1) / std::max(1, m_options.slots);
    return std::max(LEAST_RETRY_AFTER, base::Millis(static_cast<int64_t>(waitMs)));
}

} // namespace pomelowind::targets
