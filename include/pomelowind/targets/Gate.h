// The only way to a target: never more calls at once than it has slots, a short queue bounded by each call's deadline,
// a ramp after a cold start, and nothing new for a target that leaves. A decision class without I/O.
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
    std::string account;
    int priority { 5 }; // 0 is shed first, 9 last
    base::Instant deadline;
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
    // A running call has ended after `took`.
    GateStep finished(base::Millis took, base::Instant now);
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

private:
    GateStep fill(base::Instant now);
    std::list<GateCall>::iterator nextToRun();
    std::list<GateCall>::iterator firstToShed(const GateCall& call);
    bool canMeetDeadline(const GateCall& call, base::Instant now) const;

    GateOptions m_options;
    base::Instant m_started;
    int m_running { 0 };
    bool m_leaving { false };
    std::list<GateCall> m_queue;
    std::map<std::string, int> m_waitingByAccount;
    std::map<std::string, uint64_t> m_lastServed; // turn in which an account was last served
    uint64_t m_turn { 0 };
    double m_serviceMs { 1 };
};

} // namespace pomelowind::targets
