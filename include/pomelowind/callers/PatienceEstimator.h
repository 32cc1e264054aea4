// How long a caller has been trying already. Callers say how long they will still wait, but not how long they have
// waited; a caller that was refused comes back with less time than callers have at their first attempt. A decision
// class without I/O.
//
// The load it answers is a service that refuses many: those who come back must be told from those who come for the
// first time, because only the latter can still be answered within their latency objective.
#pragma once

#include "pomelowind/base/Time.h"

#include <map>
#include <string>
#include <vector>

namespace pomelowind::callers {

// Thread safety: confined to one duty.
class PatienceEstimator {
public:
    // Callers that met nobody before `startedAt` come back after it, so those are not all at their first attempt
    // either.
    explicit PatienceEstimator(base::Instant startedAt = {})
        : m_startedAt(startedAt)
    {
    }

    // A caller of `route` arrives and will wait for `budget`. Returns how long it has probably been trying. Callers'
    // patience at the first attempt differs; what lies within its usual range counts as a first attempt.
    base::Millis arrived(const std::string& route, base::Millis budget, base::Instant now);
    // This node has refused or failed a call of `route`, so its callers are not all at their first attempt for a while.
    void refused(const std::string& route, base::Instant now);

private:
    struct Range {
        int samples { 0 };
        double least { 0 }; // ms, nearly all first attempts have more
        double most { 0 }; // ms, nearly all first attempts have less
        base::Instant refusedAt;
        std::vector<double> early; // ms of callers that came while the range was unknown and not all were new
    };

    static void learn(Range& range, double ms);
    static base::Millis tried(const Range& range, double ms);
    static base::Millis triedByEarly(Range& range, double ms);

    base::Instant m_startedAt;
    std::map<std::string, Range> m_ranges; // by route
};

} // namespace pomelowind::callers
