#include "pomelowind/targets/Gate.h"

#include "pomelowind/targets/CallPriority.h"

#include <algorithm>
#include <cmath>

namespace pomelowind::targets {

namespace {

    constexpr double SERVICE_TIME_SMOOTHING = 0.1;
    // Minimum calls for a reliable average; the standard deviation of service times is about equal to their mean.
    constexpr int MIN_RELIABLE_SAMPLES = 8;
    // Maximum number of accounts in m_lastServed, and of kinds of calls with an average of their own.
    constexpr size_t MAX_TRACKED_KEYS = 1024;
    constexpr base::Millis MIN_RETRY_AFTER(100);
    constexpr int RANKS_PER_PRIORITY = 2; // nested calls, and others
    // Added to the rank of calls that can no longer meet their objective, so that they run behind all that can.
    constexpr int LATE_RANK_OFFSET = 1000;
    // Approximate ratio of the median service time to the mean, which a few very long calls raise. A call with less
    // time left than the median is more likely to be late than in time.
    constexpr double MEDIAN_TO_MEAN_RATIO = 0.8;
    // Maximum ratio of the expected wait of a late call to its time left, so that it can still be tried elsewhere.
    constexpr double MAX_LATE_WAIT_TO_TIME_LEFT_RATIO = 0.4;
    // Multiple of the mean service time that few calls exceed unless the target is slow; service times scatter by about
    // their mean.
    constexpr double LONG_RUN_FACTOR = 3;
    // Time constant for averaging the offered load: shorter than a burst of callers, longer than a call.
    constexpr double LOAD_WINDOW_MS = 1000;
    // Maximum share of the slots that calls of lower ranks are assumed to take. Their load fluctuates; with a higher
    // maximum the wait estimate refuses calls that would have been in time and are then retried.
    constexpr double MAX_SHARE_OF_LOWER_RANKS = 0.5;
    // The same for late calls, which run only in slots that no other call needs. They are refused rather than queued if
    // such a slot is unlikely to become free.
    constexpr double MAX_SHARE_OF_LOWER_RANKS_FOR_LATE = 0.95;

    // The same for the accepted calls per second. They are counted rather than estimated from service times, and calls
    // of later ranks get no more than the urgent ones leave.
    constexpr double MAX_SHARE_OF_LOWER_RANKS_FOR_RATE = 0.95;
    // Time whose calls a target with a limited rate may get at once: callers arrive at random, and what it would have
    // accepted in a gap between them is not lost. Well below the second for which the target names its limit.
    constexpr double RATE_BURST_SECONDS = 0.5;
    // A target that accepts no calls still gets one every two seconds: only its responses can tell that it does again.
    constexpr double MIN_RATE_PER_SECOND = 0.5;
    constexpr double MS_PER_SECOND = 1000;

    // Calls with a higher urgency run first as long as they can meet their objective, and are shed last.
    int urgency(const GateCall& call) { return RANKS_PER_PRIORITY * call.priority + (call.nested ? 1 : 0); }

    constexpr int MAX_URGENCY = RANKS_PER_PRIORITY * MAX_CALL_PRIORITY + 1;
    static_assert(MAX_URGENCY < LATE_RANK_OFFSET, "late calls run behind all others");

    double toMs(base::Instant::duration d) { return std::chrono::duration<double, std::milli>(d).count(); }

}

Gate::Gate(GateOptions options, base::Instant now)
    : m_options(options)
    , m_started(now)
    , m_loadUpdatedAt(now)
{
}

int Gate::limit(base::Instant now) const
{
    if (!isCold(now) || !m_options.enforceLimits)
        return m_options.slots;
    double passed = std::chrono::duration<double>(now - m_started) / std::chrono::duration<double>(m_options.coldStart);
    double share = m_options.coldStartRatio + (1 - m_options.coldStartRatio) * passed;
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
    return it == m_serviceByKind.end() || it->second.samples < MIN_RELIABLE_SAMPLES ? 0 : it->second.ms;
}

bool Gate::canMeetObjective(const GateCall& call, double waitMs, base::Instant now) const
{
    return !call.objective || toMs(*call.objective - now) >= waitMs + MEDIAN_TO_MEAN_RATIO * serviceMs(call.kind);
}

bool Gate::canMeetDeadline(const GateCall& call, double waitMs, base::Instant now) const
{
    return toMs(call.deadline - now) >= waitMs + serviceMs(call.kind);
}

// Returns the position of a call in the order of execution: lower ranks run first.
int Gate::rank(const GateCall& call, base::Instant now) const
{
    int out = MAX_URGENCY - urgency(call);
    return canMeetObjective(call, 0, now) ? out : out + LATE_RANK_OFFSET;
}

// Returns the load of the ranks that run before `rank`.
Gate::OfferedLoad Gate::loadOfLowerRanks(int rank) const
{
    OfferedLoad out;
    for (const auto& [other, load] : m_loadByRank) {
        if (other >= rank)
            break;
        out.serviceMs += load.serviceMs;
        out.calls += load.calls;
    }
    return out;
}

// Adds an admitted call to the moving average of the offered load by rank.
void Gate::recordLoad(int rank, double serviceMs, base::Instant now)
{
    double keep = std::exp(-toMs(now - m_loadUpdatedAt) / LOAD_WINDOW_MS);
    m_loadUpdatedAt = now;
    for (auto& [other, load] : m_loadByRank) {
        load.serviceMs *= keep;
        load.calls *= keep;
    }
    m_loadByRank[rank].serviceMs += serviceMs;
    m_loadByRank[rank].calls += 1;
}

// Returns the time until the target accepts `n` more calls than the gate has sent it; 0 if its rate is not limited.
double Gate::untilTokensMs(double n, base::Instant now) const
{
    if (!m_acceptedCalls)
        return 0;
    auto bucket = *m_acceptedCalls;
    return std::max(0.0, n - bucket.availableTokens(now)) * MS_PER_SECOND / m_maxRate;
}

// Returns how many queued calls run before `call`: all of lower ranks, and of its own rank those whose accounts have
// their turn earlier. Without the turns, a call would be refused for the queue of an account that asks for more.
size_t Gate::callsAhead(const GateCall& call, int rank, base::Instant now) const
{
    size_t out = 0;
    std::map<std::string_view, size_t> sameRank; // queued calls by account
    for (const auto& it : m_queue) {
        int other = this->rank(it, now);
        out += other < rank ? 1 : 0;
        if (other == rank)
            ++sameRank[it.account];
    }
    if (!call.hasClientAccount) {
        for (const auto& [account, queued] : sameRank)
            out += queued;
        return out;
    }
    auto own = sameRank.find(call.account);
    size_t turns = own == sameRank.end() ? 0 : own->second;
    auto served = lastServed(call.account);
    for (const auto& [account, queued] : sameRank) {
        if (account == call.account)
            out += queued;
        else
            out += std::min(queued, lastServed(std::string(account)) <= served ? turns + 1 : turns);
    }
    return out;
}

uint64_t Gate::lastServed(const std::string& account) const
{
    auto it = m_lastServed.find(account);
    return it == m_lastServed.end() ? 0 : it->second;
}

void Gate::recordTurn(const std::string& account)
{
    m_lastServed[account] = ++m_serveCount;
    if (m_lastServed.size() <= MAX_TRACKED_KEYS)
        return;
    auto oldest = std::min_element(
        m_lastServed.begin(), m_lastServed.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    m_lastServed.erase(oldest);
}

// Returns the expected wait, given that the queued calls ahead are served by the slots, and by the calls per second,
// that calls of lower ranks leave free.
double Gate::expectedWaitMs(const GateCall& call, int rank, base::Instant now) const
{
    auto position = static_cast<double>(callsAhead(call, rank, now) + 1);
    double maxShare = rank < LATE_RANK_OFFSET ? MAX_SHARE_OF_LOWER_RANKS : MAX_SHARE_OF_LOWER_RANKS_FOR_LATE;
    auto lower = loadOfLowerRanks(rank);
    double slots = std::max(1, m_options.slots);
    double shareOfSlots = std::min(maxShare, lower.serviceMs / (LOAD_WINDOW_MS * slots));
    double untilSlotMs = m_serviceMs / slots * position / (1 - shareOfSlots);
    if (!m_acceptedCalls)
        return untilSlotMs;
    double shareOfRate
        = std::min(MAX_SHARE_OF_LOWER_RANKS_FOR_RATE, lower.calls * MS_PER_SECOND / (LOAD_WINDOW_MS * m_maxRate));
    return std::max(untilSlotMs, untilTokensMs(position, now) / (1 - shareOfRate));
}

// Returns true if a call can still be served in time after waiting in the queue. A call that would miss its objective
// is checked again as a late call.
bool Gate::canServeFromQueue(const GateCall& call, base::Instant now) const
{
    int callRank = rank(call, now);
    if (expectedWaitMs(call, callRank, now) > static_cast<double>(call.maxQueueWait.count()))
        return false;
    if (callRank < LATE_RANK_OFFSET) {
        double waitMs = expectedWaitMs(call, callRank, now);
        if (call.nested)
            return canMeetDeadline(call, waitMs, now);
        if (canMeetObjective(call, waitMs, now) && canMeetDeadline(call, waitMs, now))
            return true;
        if (!call.objective)
            return false;
        callRank += LATE_RANK_OFFSET;
    }
    double waitMs = expectedWaitMs(call, callRank, now);
    return waitMs <= MAX_LATE_WAIT_TO_TIME_LEFT_RATIO * toMs(call.deadline - now) && canMeetDeadline(call, waitMs, now);
}

GateVerdict Gate::admit(const GateCall& call, base::Instant now, std::optional<uint64_t>& shed)
{
    if (m_draining)
        return GateVerdict::Draining;
    assumeServiceTime(call);
    bool isRoomFree = !m_options.enforceLimits || (!hasReadyCall() && hasRoom(now));
    bool runs = isRoomFree && call.bodyArrived;
    if (!isRoomFree && (!call.mayQueue || !canServeFromQueue(call, now)))
        return GateVerdict::Overloaded;
    int callRank = rank(call, now);
    // The sender has other targets to try, one of which may be faster. It tries this one again without the restriction
    // if none is.
    bool hasAlternative = !call.mayQueue || call.maxQueueWait != base::Millis::max();
    if (hasAlternative && !call.nested && callRank >= LATE_RANK_OFFSET)
        return GateVerdict::Overloaded;
    recordLoad(callRank, serviceMs(call.kind), now);
    if (runs) {
        if (call.hasClientAccount)
            recordTurn(call.account);
        startCall(now);
        return GateVerdict::Run;
    }
    if (static_cast<double>(m_queue.size()) >= m_options.slots * m_options.queuePerSlot) {
        auto victim = findVictim(call);
        if (victim == m_queue.end())
            return GateVerdict::Overloaded;
        shed = victim->id;
        cancel(victim->id);
    }
    m_queue.push_back(call);
    ++m_queuedByAccount[call.account];
    return GateVerdict::Queued;
}

// Returns the queued call to evict in favour of `call`, or the end of the queue. It has the lowest urgency below that
// of `call`, or the same urgency and an account with more queued calls. The newest call of that account is evicted,
// because the oldest will run soonest.
Gate::Queue::iterator Gate::findVictim(const GateCall& call)
{
    auto victim = m_queue.end();
    for (auto it = m_queue.begin(); it != m_queue.end(); ++it) {
        if (urgency(*it) > urgency(call))
            continue;
        bool sameUrgency = urgency(*it) == urgency(call);
        if (sameUrgency && m_queuedByAccount[it->account] <= m_queuedByAccount[call.account] + 1)
            continue;
        if (victim == m_queue.end() || urgency(*it) < urgency(*victim)
            || (urgency(*it) == urgency(*victim)
                && m_queuedByAccount[it->account] >= m_queuedByAccount[victim->account]))
            victim = it;
    }
    return victim;
}

bool Gate::hasReadyCall() const
{
    return std::any_of(m_queue.begin(), m_queue.end(), [](const GateCall& it) { return it.bodyArrived; });
}

GateStep Gate::onBodyArrived(uint64_t id, base::Instant now)
{
    for (auto& it : m_queue) {
        if (it.id == id)
            it.bodyArrived = true;
    }
    return startQueued(now);
}

// Returns the ready call of the lowest rank; within a rank, of the account that was served least recently.
Gate::Queue::iterator Gate::nextToRun(base::Instant now)
{
    auto best = m_queue.end();
    int bestRank = 0;
    for (auto it = m_queue.begin(); it != m_queue.end(); ++it) {
        if (!it->bodyArrived)
            continue;
        int callRank = rank(*it, now);
        bool isLater = best != m_queue.end()
            && (callRank > bestRank || (callRank == bestRank && lastServed(it->account) >= lastServed(best->account)));
        if (isLater)
            continue;
        best = it;
        bestRank = callRank;
    }
    return best;
}

// Refuses queued calls that can no longer meet their deadline, then fills the free slots from the queue.
GateStep Gate::startQueued(base::Instant now)
{
    GateStep step = expire(now);
    while (hasRoom(now)) {
        auto it = nextToRun(now);
        if (it == m_queue.end())
            break;
        recordTurn(it->account);
        step.run.push_back(it->id);
        cancel(it->id);
        startCall(now);
    }
    return step;
}

GateStep Gate::sweep(base::Instant now) { return startQueued(now); }

GateStep Gate::finished(const std::string& kind, std::optional<base::Millis> serviceTime, base::Instant now)
{
    --m_running;
    if (serviceTime)
        recordServiceTime(kind, *serviceTime);
    return startQueued(now);
}

bool Gate::recordElapsed(const std::string& kind, base::Millis elapsed)
{
    auto it = m_serviceByKind.find(kind);
    if (it == m_serviceByKind.end() || static_cast<double>(elapsed.count()) < LONG_RUN_FACTOR * it->second.ms)
        return false;
    recordServiceTime(kind, elapsed);
    return true;
}

// Assumes the average service time over all targets until calls of the kind have ended at this one.
void Gate::assumeServiceTime(const GateCall& call)
{
    if (call.typicalServiceTime <= base::Millis(0) || m_serviceByKind.size() >= MAX_TRACKED_KEYS)
        return;
    auto ms = static_cast<double>(call.typicalServiceTime.count());
    m_serviceByKind.try_emplace(call.kind, ServiceTime { ms, 0 });
}

void Gate::recordServiceTime(const std::string& kind, base::Millis serviceTime)
{
    auto ms = static_cast<double>(serviceTime.count());
    m_serviceMs += SERVICE_TIME_SMOOTHING * (ms - m_serviceMs);
    if (m_serviceByKind.size() >= MAX_TRACKED_KEYS && !m_serviceByKind.count(kind))
        return;
    auto& service = m_serviceByKind[kind];
    double weight = std::max(SERVICE_TIME_SMOOTHING, 1.0 / ++service.samples);
    service.ms += weight * (ms - service.ms);
}

// Returns the queued calls in the order in which they will run, apart from the turns of accounts.
std::vector<Gate::Queue::const_iterator> Gate::inOrderOfRank(base::Instant now) const
{
    std::vector<std::pair<int, Queue::const_iterator>> ranked;
    for (auto it = m_queue.begin(); it != m_queue.end(); ++it)
        ranked.emplace_back(rank(*it, now), it);
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<Queue::const_iterator> out;
    for (const auto& [rank, it] : ranked)
        out.push_back(it);
    return out;
}

// Refuses the queued calls that can no longer meet their deadline, even if no call arrives that runs before them.
GateStep Gate::expire(base::Instant now)
{
    GateStep step;
    int kept = 0;
    for (const auto& it : inOrderOfRank(now)) {
        if (canMeetDeadline(*it, untilTokensMs(kept + 1, now), now))
            ++kept;
        else
            step.refuse.push_back(it->id);
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
    auto waiting = m_queuedByAccount.find(it->account);
    if (--waiting->second == 0)
        m_queuedByAccount.erase(waiting);
    m_queue.erase(it);
    return true;
}

GateStep Gate::startDraining()
{
    m_draining = true;
    GateStep step;
    for (const auto& it : m_queue)
        step.refuse.push_back(it.id);
    m_queue.clear();
    m_queuedByAccount.clear();
    return step;
}

void Gate::setMaxRate(std::optional<double> callsPerSecond, base::Instant now)
{
    if (!callsPerSecond) {
        m_acceptedCalls.reset();
        return;
    }
    m_maxRate = std::max(*callsPerSecond, MIN_RATE_PER_SECOND);
    double burst = std::max(1.0, m_maxRate * RATE_BURST_SECONDS);
    // Starts with one call: the target has just got more than it accepts.
    if (!m_acceptedCalls)
        m_acceptedCalls.emplace(m_maxRate, 1, now);
    m_acceptedCalls->setRate(m_maxRate, now);
    m_acceptedCalls->setBurst(burst);
}

bool Gate::hasRoom(base::Instant now)
{
    return m_running < limit(now) && (!m_acceptedCalls || m_acceptedCalls->availableTokens(now) >= 1);
}

// Takes the room of a call that begins to run.
void Gate::startCall(base::Instant now)
{
    ++m_running;
    if (m_acceptedCalls)
        m_acceptedCalls->tryTake(now);
}

base::Millis Gate::retryAfter(base::Instant now) const
{
    auto position = static_cast<double>(m_queue.size() + 1);
    double untilTokenMs = std::ceil(untilTokensMs(position, now));
    // A target that refuses a call although it has room may admit the next one.
    bool isSlotFree = m_queue.empty() && m_running < m_options.slots;
    if (isSlotFree)
        return base::Millis(static_cast<int64_t>(untilTokenMs));
    double untilSlotMs = m_serviceMs * position / std::max(1, m_options.slots);
    return std::max(MIN_RETRY_AFTER, base::Millis(static_cast<int64_t>(std::max(untilSlotMs, untilTokenMs))));
}

} // namespace pomelowind::targets
