// Load balancer over the targets of a service. The node that accepts a call uses it to choose the target of each
// attempt, from its own observations: calls in flight, service times, faults, refusals, and the load reported in
// answers. The health that targets announce is only a hint. Pure decision logic without I/O.
//
// Designed for services whose targets differ in speed and are nearly all busy: an attempt goes to the target where it
// should end soonest, within the node's own data centre as long as that has capacity.
#pragma once

#include "pomelowind/base/Random.h"
#include "pomelowind/base/Time.h"
#include "pomelowind/nodes/Directory.h"
#include "pomelowind/targets/ColdTargets.h"
#include "pomelowind/targets/Crossing.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pomelowind::targets {

// Selects the versions of a service that may serve a call: exactly one, or all but the excluded ones.
struct VersionFilter {
    std::string required; // the required version; empty: any version that is not in `excluded`
    std::vector<std::string> excluded;
    // Returns true if a target of `version` may serve the call.
    bool allows(const std::string& version) const;
    bool operator==(const VersionFilter&) const = default;
};

// Result of one attempt at a target.
struct AttemptResult {
    std::string target;
    bool fault { false }; // the target or its host failed
    bool refused { false }; // by the gate of the target
    base::Micros latency { 0 }; // as measured by this node
    int inFlight { 0 }; // calls running at the target, as reported in the answer
    int queued { 0 }; // calls queued at its gate, as reported in the answer
    std::string kind; // name of the route; calls of one kind have similar service times
    base::Micros serviceTime { 0 }; // service time of this call at the target; 0 if unknown
    // Average service time of the kind at the target, as reported by its gate; 0 if unknown.
    base::Micros typicalServiceTime { 0 };
    size_t responseBytes { 0 };
    base::Millis retryAfter { 0 }; // if refused: time until the gate expects a free slot
    std::optional<bool> cold; // as reported in the answer; empty if there was none from the gate
};

// A call that needs a target.
struct PlacementRequest {
    std::string kind; // name of the route; calls of one kind have similar service times
    size_t bodyBytes { 0 };
    std::optional<base::Millis> untilObjective; // time left to meet the latency objective; empty if there is none
};

// Target chosen for an attempt.
struct Placement {
    wire::Presence target;
    // Maximum time to queue at the target's gate before another target is tried; empty if unlimited. Set for the last
    // candidate in the node's own data centre, to the wait that costs as much as the transfer to another data centre.
    std::optional<base::Millis> maxQueueWait;
};

// Thread safety: confined to the calls event loop.
class Balancer {
public:
    Balancer(std::string dataCentre, uint64_t seed, CrossingPrice price = {});

    // Returns a serving target of an allowed version, or nothing if there is none. `excluded` holds targets that
    // must not be chosen, such as those that were already tried. Targets that are ejected for repeated faults are left
    // out, unless that excludes too many.
    std::optional<Placement> choose(const nodes::TargetList& targets, const std::string& service,
        const VersionFilter& versions, const std::set<std::string>& excluded, base::Instant now,
        const PlacementRequest& call = {});
    // Returns true if a serving target of an allowed version exists, ejected or not.
    bool hasTarget(const nodes::TargetList& targets, const std::string& service, const VersionFilter& versions) const;
    // Counts an attempt at `target` as in flight, until onAttemptEnded().
    void onAttemptStarted(const std::string& target);
    // Records the result of an attempt that was counted by onAttemptStarted(); ignored for unknown targets.
    void onAttemptEnded(const AttemptResult& result, base::Instant now);
    // Replaces what is known of cold targets: `rates` are those of the configuration, and `asOf` is the time to which
    // coldLeftMs of the targets refers. Without rates, cold targets are chosen like others.
    void setCold(const nodes::TargetList& targets, base::Instant asOf, const ColdRates& rates)
    {
        m_coldTargets.update(targets, asOf, rates);
    }
    const ColdTargets& coldTargets() const { return m_coldTargets; }
    // Drops the statistics of targets that are not in `targets` and have no attempt in flight.
    void retain(const nodes::TargetList& targets);

    // Returns the average service time of `kind` over all targets; 0 if unknown.
    base::Millis typicalServiceTime(const std::string& kind) const;
    // Returns true while `target` is ejected after consecutive faults.
    bool isEjected(const std::string& target, base::Instant now) const;

private:
    struct Stats {
        int inFlight { 0 };
        int samples { 0 };
        double slowness { 1 }; // service time relative to the average of the same kind over all targets
        double reportedCalls { 0 }; // calls running and queued, as reported in the last answer
        base::Instant reportedAt;
        int consecutiveFaults { 0 };
        int ejections { 0 };
        base::Instant ejectedUntil;
        base::Instant refusedUntil;
    };
    using Candidates = std::vector<const wire::Presence*>;

    Candidates findCandidates(const nodes::TargetList& targets, const std::string& service,
        const VersionFilter& versions, const std::set<std::string>& excluded) const;
    Candidates withoutEjected(const Candidates& all, base::Instant now) const;
    const wire::Presence* cheapest(Candidates candidates, base::Instant now);
    double loadOf(const wire::Presence& target, base::Instant now) const;
    double costOf(const wire::Presence& target, base::Instant now) const;
    void updateSlowness(Stats& stats, const AttemptResult& result);
    CallProfile profileOf(const PlacementRequest& call) const;
    bool shouldCrossDataCentres(const wire::Presence& local, const wire::Presence& remote, base::Instant now,
        const PlacementRequest& call) const;
    double updateAverageServiceMs(const std::string& kind, double ms);
    const Stats* find(const std::string& target) const;

    std::string m_dataCentre;
    base::Random m_random;
    std::map<std::string, Stats> m_stats;
    CrossingPrice m_price;
    ColdTargets m_coldTargets;
    std::map<std::string, double> m_serviceMs; // average service time by kind, over all targets
    std::map<std::string, double> m_responseBytes; // average by kind
};

} // namespace pomelowind::targets
