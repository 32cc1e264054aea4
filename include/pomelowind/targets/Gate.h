// The only way to a target: never more calls at once than it has slots, a queue bounded by what can still be served in
// time, a ramp after a cold start, and nothing new for a target that leaves. A decision class without I/O.
//
// The load it answers is a service offered more than its slots can do. Calls that can still meet their latency
// objective go first, by priority; those that cannot come behind all of them, because they lose little by waiting
// longer. Within a priority, calls that a running call waits for come first: to refuse one wastes what its parent has
// done. A call that would wait in vain is refused at once, so that its caller can use the time elsewhere.
#pragma once

#include "pomelowind/base/Time.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pomelowind::targets {

// A call that wants to run.
struct GateCall {
    uint64_t id { 0 };
    std::string account; // calls of one account take turns with those of others
    int priority { 5 }; // 0 is shed first, 9 last
    base::Instant deadline;
    std::optional<base::Instant> objective; // when it should have ended; none: any time before the deadline is as good
    std::string kind; // calls of one kind take about the same time
    bool mayWait { true }; // false: rather refused at once than queued, because another target may be free
    base::Millis mostWait { base::Millis::max() }; // rather refused than queued for longer, for the same reason
    bool nested { false }; // a running call waits for it, whose slot is lost if this one is refused
    base::Millis usualRun { 0 }; // of its kind on all targets, as the caller's node knows; 0 when it does not
    bool ready { true }; // false: holds a place in the queue, but its body is still on the way
    bool operator==(const GateCall&) const = default;
};

enum class GateVerdict { Run, Queued, Overloaded, Leaving };

// What to do with calls after an event: run these, and refuse those as not run.
struct GateStep {
    std::vector<uint64_t> run;
    std::vector<uint64_t> refuse;
};

struct GateOptions {
    int slots { 12 };
    base::Millis coldStart { 2000 };
    double coldShare { 0.25 }; // part of the slots at the start of it
    double queuePerSlot { 4 };
    bool limited { true }; // false in the benchmark that shows what the gate is for
};

// Thread safety: confined to the calls duty.
class Gate {
public:
    Gate(GateOptions options, base::Instant now);

    // Takes a call. A queued call later comes out of a GateStep. `shed` receives a queued call of lower priority, or of
    // an account with more calls waiting, that had to make room.
    GateVerdict admit(const GateCall& call, base::Instant now, std::optional<uint64_t>& shed);
    // The body of a queued call has arrived.
    GateStep becameReady(uint64_t id, base::Instant now);
    // A running call of `kind` has ended; `took` is nothing when it failed, which tells nothing of how long calls run.
    GateStep finished(const std::string& kind, std::optional<base::Millis> took, base::Instant now);
    // A call of `kind` has run for `elapsed` so far, or ended without an answer after it. Much longer than usual, it
    // counts as a call that took at least this long: a target that has become slow ends few calls to learn from.
    // Returns true when it counted; the same call should then be told again only after twice the time.
    bool runsLong(const std::string& kind, base::Millis elapsed);
    // Refuses queued calls whose deadline cannot be met any more.
    GateStep expire(base::Instant now);
    // Removes a queued call; returns false when it is not queued.
    bool cancel(uint64_t id);
    // The target leaves: calls that run go on, queued ones are refused, new ones too.
    GateStep leave();
    void setSlots(int slots) { m_options.slots = slots; }

    int running() const { return m_running; }
    int queued() const { return static_cast<int>(m_queue.size()); }
    // Calls that may run at once now, fewer than the slots during a cold start.
    int limit(base::Instant now) const;
    bool isCold(base::Instant now) const { return now - m_started < m_options.coldStart; }
    // Time after which a refused call may succeed.
    base::Millis retryAfter() const;
    // Time that a call of `kind` runs, as observed.
    double serviceMs(const std::string& kind) const;
    // The same, or 0 before enough calls of the kind have ended to tell.
    double typicalMs(const std::string& kind) const;

private:
    struct Service {
        double ms { 0 };
        int calls { 0 };
    };
    using Queue = std::list<GateCall>;

    GateStep fill(base::Instant now);
    bool canMeetObjective(const GateCall& call, double waitMs, base::Instant now) const;
    bool canMeetDeadline(const GateCall& call, double waitMs, base::Instant now) const;
    int rank(const GateCall& call, base::Instant now) const;
    double expectedWaitMs(int rank, base::Instant now) const;
    double shareTakenBefore(int rank) const;
    void countWork(int rank, double serviceMs, base::Instant now);
    bool mayQueue(const GateCall& call, base::Instant now) const;
    void expectService(const GateCall& call);
    void learnService(const std::string& kind, base::Millis took);
    bool hasReady() const;
    // The end of the queue when none is ready.
    Queue::iterator nextToRun(base::Instant now);
    Queue::iterator firstToShed(const GateCall& call);

    GateOptions m_options;
    base::Instant m_started;
    int m_running { 0 };
    bool m_leaving { false };
    Queue m_queue;
    std::map<std::string, int> m_waitingByAccount;
    std::map<std::string, uint64_t> m_lastServed; // turn in which an account was last served
    uint64_t m_turn { 0 };
    double m_serviceMs { 1 };
    std::map<std::string, Service> m_serviceByKind;
    std::map<int, double> m_work; // slot milliseconds a second that calls of a rank ask for
    base::Instant m_workAt;
};

} // namespace pomelowind::targets
