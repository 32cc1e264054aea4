// Estimates how long a caller has already been trying. Callers state their remaining time budget, but not how long they
// have waited so far. A caller that retries after a refusal has a smaller budget than callers at their first attempt.
// Pure decision logic without I/O.
//
// The node uses the estimate when it accepts a call. Under overload, when many calls are refused, retries must be
// distinguished from first attempts, because only first attempts can still be answered within their latency objective.
#pragma once

#include "pomelowind/base/Time.h"

#include <map>
#include <string>
#include <vector>

namespace pomelowind::callers {

// Thread safety: confined to one event loop.
class ElapsedTimeEstimator {
public:
    // `startedAt` is the start of the node. Callers that could not reach it before retry after it, so not all of the
    // early callers are at their first attempt.
    explicit ElapsedTimeEstimator(base::Instant startedAt = {})
        : m_startedAt(startedAt)
    {
    }

    // Returns how long a caller of `route` that will wait for `budget` has probably been trying, and learns from its
    // budget. Budgets at the first attempt differ; one within their usual range counts as a first attempt.
    base::Millis estimateElapsed(const std::string& route, base::Millis budget, base::Instant now);
    // Records that this node refused or failed a call of `route`. Until that caller's budget has passed, not all
    // callers of the route are at their first attempt.
    void recordRefusal(const std::string& route, base::Instant now);

private:
    // Range of the budgets that callers have at their first attempt.
    struct Range {
        int samples { 0 };
        double low { 0 }; // ms; nearly all first attempts have a larger budget
        double high { 0 }; // ms; nearly all first attempts have a smaller budget
        base::Instant refusedAt;
        // Sorted budgets in ms, collected while the range is unknown and some callers may be retrying.
        std::vector<double> earlyBudgets;
    };

    static void updateRange(Range& range, double ms);
    static base::Millis elapsedByRange(const Range& range, double ms);
    static base::Millis elapsedByEarlyBudgets(Range& range, double ms);

    base::Instant m_startedAt;
    std::map<std::string, Range> m_budgetRanges; // by route
};

} // namespace pomelowind::callers
