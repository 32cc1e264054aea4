// Admission controller in front of one target. All calls to the target pass through the gate of the node on its host.
// It limits concurrent calls to the target's slots, with a ramp-up after a cold start, and the calls per second to what
// the target accepts; queues only calls that can still be served in time; and admits nothing new while the target
// drains. Pure decision logic without I/O.
//
// Designed for services that are offered more calls than their slots can serve. Calls that can still meet their latency
// objective run first, by priority. Calls that cannot meet it run behind all of them, because they lose little by
// waiting longer. Within a priority, nested calls, which another running call waits for, run first: refusing one wastes
// the work of the call that issued it. A call that would wait in vain is refused at once, so that its caller can use
// the time for an attempt elsewhere.
#pragma once

#include "pomelowind/base/Time.h"
#include "pomelowind/base/TokenBucket.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pomelowind::targets {

// A call that asks for a slot.
struct GateCall {
    uint64_t id { 0 };
    // Client account, or the kind if there is none. Accounts take turns within a rank.
    std::string account;
    // 0 to MAX_CALL_PRIORITY; 0 is shed first. Where the configuration has client accounts, that of the account comes
    // before that of the route; see CallPriority.h.
    int priority { 5 };
    base::Instant deadline;
    // End of the latency objective; empty: any time before the deadline is equally good.
    std::optional<base::Instant> objective;
    // Name of the client account, or of the route if there is no account. Calls of one kind have similar service times.
    std::string kind;
    bool mayQueue { true }; // false: refuse rather than queue, because another target may have a free slot
    base::Millis maxQueueWait { base::Millis::max() }; // refuse if the expected wait is longer, for the same reason
    bool nested { false }; // issued by a running call, whose work is wasted if this one is refused
    // Average service time of calls of this kind over all targets; 0 if the sending node does not know it.
    base::Millis typicalServiceTime { 0 };
    // `account` is a client account. Its expected wait then counts the turns of accounts; that of other calls counts
    // all queued calls of its rank.
    bool hasClientAccount { false };
    bool bodyArrived { true }; // false: occupies a queue slot until its body has arrived
    bool operator==(const GateCall&) const = default;
};

// Decision on a new call: run it now, keep it queued, or refuse it for lack of capacity or because the target drains.
enum class GateVerdict { Run, Queued, Overloaded, Draining };

// Queued calls that leave the queue after an event: those to run now, and those to refuse as not run.
struct GateStep {
    std::vector<uint64_t> run;
    std::vector<uint64_t> refuse;
};

// Limits of a gate.
struct GateOptions {
    int slots { 12 }; // concurrent calls
    base::Millis coldStart { 2000 }; // duration of the ramp-up
    double coldStartRatio { 0.25 }; // fraction of the slots available when the ramp-up begins
    double queuePerSlot { 4 }; // queued calls per slot
    bool enforceLimits { true }; // false admits calls without a free slot; a benchmark compares against this
};

// Thread safety: confined to the calls event loop.
class Gate {
public:
    Gate(GateOptions options, base::Instant now);

    // Decides on a new call. A queued call leaves the queue through a later GateStep, `shed` or cancel(). `shed` is set
    // to the id of a queued call that is evicted to make room, and otherwise left unchanged. The evicted call has a
    // lower priority, or the same and an account with more queued calls.
    GateVerdict admit(const GateCall& call, base::Instant now, std::optional<uint64_t>& shed);
    // Makes a queued call whose body has arrived eligible to run.
    GateStep onBodyArrived(uint64_t id, base::Instant now);
    // Releases the slot of a running call of `kind`. `serviceTime` is empty if the call failed, because the time to a
    // failure says nothing about the service time.
    GateStep finished(const std::string& kind, std::optional<base::Millis> serviceTime, base::Instant now);
    // Reports a call of `kind` that has run for `elapsed` so far, or ended without an answer after that time. If this
    // is much longer than usual, it counts as a service time sample: a target that has become slow completes too few
    // calls to learn from. Returns true if it counted; the same call should then be reported again only after twice the
    // time.
    bool recordElapsed(const std::string& kind, base::Millis elapsed);
    // Refuses the queued calls that can no longer meet their deadline, and runs those for which there is room now. To
    // be called every few milliseconds.
    GateStep sweep(base::Instant now);
    // Removes a queued call. Returns false if it is not queued.
    bool cancel(uint64_t id);
    // Starts draining: running calls continue, queued and new calls are refused.
    GateStep startDraining();
    void setSlots(int slots) { m_options.slots = slots; }
    // Sets how many calls per second the target accepts, 0 or more; empty: any number. A sweep() should follow.
    void setMaxRate(std::optional<double> callsPerSecond, base::Instant now);

    int running() const { return m_running; }
    int queued() const { return static_cast<int>(m_queue.size()); }
    // Returns how many calls may run at once now: fewer than the slots during a cold start.
    int limit(base::Instant now) const;
    // Returns true during the ramp-up after the start.
    bool isCold(base::Instant now) const { return now - m_started < m_options.coldStart; }
    // Returns the estimated time until a refused call may be admitted.
    base::Millis retryAfter(base::Instant now) const;
    // Returns the average service time of `kind`, or of all calls if the kind is unknown.
    double serviceMs(const std::string& kind) const;
    // Returns the average service time of `kind`, or 0 until enough calls of the kind have ended for a reliable
    // average.
    double typicalMs(const std::string& kind) const;

private:
    struct ServiceTime {
        double ms { 0 };
        int samples { 0 };
    };
    // Calls that were admitted lately, decaying over about a second.
    struct OfferedLoad {
        double serviceMs { 0 }; // their expected service time
        double calls { 0 };
    };
    using Queue = std::list<GateCall>;

    bool hasRoom(base::Instant now);
    void startCall(base::Instant now);
    GateStep startQueued(base::Instant now);
    GateStep expire(base::Instant now);
    std::vector<Queue::const_iterator> inOrderOfRank(base::Instant now) const;
    double untilTokensMs(double n, base::Instant now) const;
    bool canMeetObjective(const GateCall& call, double waitMs, base::Instant now) const;
    bool canMeetDeadline(const GateCall& call, double waitMs, base::Instant now) const;
    int rank(const GateCall& call, base::Instant now) const;
    double expectedWaitMs(const GateCall& call, int rank, base::Instant now) const;
    size_t callsAhead(const GateCall& call, int rank, base::Instant now) const;
    uint64_t lastServed(const std::string& account) const;
    void recordTurn(const std::string& account);
    OfferedLoad loadOfLowerRanks(int rank) const;
    void recordLoad(int rank, double serviceMs, base::Instant now);
    bool canServeFromQueue(const GateCall& call, base::Instant now) const;
    void assumeServiceTime(const GateCall& call);
    void recordServiceTime(const std::string& kind, base::Millis serviceTime);
    bool hasReadyCall() const;
    // Returns the end of the queue if no call is ready.
    Queue::iterator nextToRun(base::Instant now);
    Queue::iterator findVictim(const GateCall& call);

    GateOptions m_options;
    base::Instant m_started;
    int m_running { 0 };
    bool m_draining { false };
    Queue m_queue;
    std::map<std::string, int> m_queuedByAccount;
    std::map<std::string, uint64_t> m_lastServed; // value of m_serveCount when the account was last served
    uint64_t m_serveCount { 0 };
    double m_serviceMs { 1 };
    std::map<std::string, ServiceTime> m_serviceByKind;
    std::map<int, OfferedLoad> m_loadByRank;
    base::Instant m_loadUpdatedAt;
    // Calls that the target accepts now; empty: any number.
    std::optional<base::TokenBucket> m_acceptedCalls;
    double m_maxRate { 0 }; // calls per second that refill m_acceptedCalls
};

} // namespace pomelowind::targets
