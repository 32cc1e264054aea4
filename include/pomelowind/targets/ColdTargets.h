// Shares the calls that cold targets accept among the nodes that choose targets. Each node sends a cold target its own
// part of the rate, without messages between the nodes, so that their sum is about what the target's gate admits. Pure
// decision logic without I/O.
#pragma once

#include "pomelowind/base/Random.h"
#include "pomelowind/base/Time.h"
#include "pomelowind/nodes/Directory.h"

#include <map>
#include <string>
#include <vector>

namespace pomelowind::targets {

// Calls per second that the cold targets of each service accept; services without a limit are absent.
using ColdRates = std::map<std::string, double>;

// Thread safety: confined to the calls event loop.
class ColdTargets {
public:
    using Candidates = std::vector<const wire::Presence*>;

    ColdTargets(std::string dataCentre, uint64_t seed);
    // Replaces the list of targets. `asOf` is the time to which their coldLeftMs refers.
    void update(const nodes::TargetList& targets, base::Instant asOf, const ColdRates& rates);
    // Returns the candidates among which a call may choose now: those that are not cold, and the cold ones of this data
    // centre whose turn has come. If there are none, cold ones of other data centres whose turn has come, and otherwise
    // the one whose turn comes next. Not empty unless `all` is.
    Candidates available(const Candidates& all, base::Instant now) const;
    // Takes this node's turn at `target`, which gets a call.
    void onChosen(const std::string& target, base::Instant now);
    // Applies what the gate of `target` says in an answer: it is closer to the target than what has been announced.
    void onAnswered(const std::string& target, bool cold, bool refused, base::Millis retryAfter, base::Instant now);
    bool isCold(const std::string& target, base::Instant now) const;
    // Returns the number of cold targets in the list.
    int count(base::Instant now) const;

private:
    struct Entry {
        int64_t incarnation { 0 };
        int64_t sequence { -1 }; // of the presence that was applied last
        base::Instant coldUntil;
        base::Instant nextTurn;
        base::Millis interval { 0 }; // between this node's turns
    };

    const Entry* findCold(const std::string& target, base::Instant now) const;
    void becomeCold(Entry& entry, base::Instant until, base::Instant now);

    std::string m_dataCentre;
    base::Random m_random;
    std::map<std::string, Entry> m_entries; // all targets of services with a limit
    base::Instant m_lastColdUntil; // no target is cold from then on
};

} // namespace pomelowind::targets
