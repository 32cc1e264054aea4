// Chooses the target of a call from this node's own observations: calls in flight, how fast each target runs calls,
// refusals, and the load that answers carry. Announced health is a hint only. A decision class without I/O.
//
// The load it answers is a service whose targets differ in speed and are nearly all busy: a call goes where it should
// end soonest, within the own data centre while there is room.
#pragma once

#include "pomelowind/base/Random.h"
#include "pomelowind/base/Time.h"
#include "pomelowind/nodes/Directory.h"
#include "pomelowind/targets/Crossing.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pomelowind::targets {

// Which versions of a service may take a call: one, or all but some.
struct VersionChoice {
    std::string only; // empty: any that is not barred
    std::vector<std::string> barred;
    bool allows(const std::string& version) const;
    bool operator==(const VersionChoice&) const = default;
};

// How one attempt ended, as far as the balancer cares.
struct Observation {
    std::string target;
    bool fault { false }; // the target or its host failed
    bool refused { false }; // its gate had no room
    base::Micros latency { 0 };
    int inFlight { 0 }; // calls at the target's gate, as the answer says
    int queued { 0 };
    std::string kind; // calls of one kind take about the same time
    base::Micros run { 0 }; // time at the target alone; 0 when it is not known
    base::Micros typical { 0 }; // average time of the kind there, as its gate says; 0 when it is not known
    size_t responseBytes { 0 };
    base::Millis untilRoom { 0 }; // of a refusal: when the gate expects room
};

// A call that wants a target.
struct CallToPlace {
    std::string kind;
    size_t bodyBytes { 0 };
    std::optional<base::Millis> untilObjective;
};

struct Placement {
    wire::Presence target;
    // How long waiting at the target's gate is better than going on to another one, when that can be said: at the last
    // target of the own data centre it is worth the bytes that would cross.
    std::optional<base::Millis> mostWait;
};

// Thread safety: confined to the calls duty.
class Balancer {
public:
    Balancer(std::string dataCentre, uint64_t seed, CrossingPrice price = {});

    // A target of the service version that can take work, or nothing. `avoid` holds targets that were tried already.
    std::optional<Placement> choose(const nodes::Targets& targets, const std::string& service,
        const VersionChoice& versions, const std::set<std::string>& avoid, base::Instant now,
        const CallToPlace& call = {});
    // True when some target of the version may be chosen.
    bool hasTarget(const nodes::Targets& targets, const std::string& service, const VersionChoice& versions) const;
    void started(const std::string& target);
    void ended(const Observation& observation, base::Instant now);
    // Forgets targets that are no longer there.
    void retain(const nodes::Targets& targets);

    // How long a call of `kind` runs on average over all targets; 0 when it is not known.
    base::Millis usualRun(const std::string& kind) const;
    bool isEjected(const std::string& target, base::Instant now) const;

private:
    struct Stats {
        int inFlight { 0 };
        int samples { 0 };
        double slowness { 1 }; // run time relative to calls of the same kind on all targets
        double reported { 0 };
        base::Instant reportedAt;
        int faultsInRow { 0 };
        int ejections { 0 };
        base::Instant ejectedUntil;
        base::Instant refusedUntil;
    };
    using Candidates = std::vector<const wire::Presence*>;

    Candidates candidates(const nodes::Targets& targets, const std::string& service, const VersionChoice& versions,
        const std::set<std::string>& avoid) const;
    Candidates withoutEjected(const Candidates& all, base::Instant now) const;
    const wire::Presence* cheapest(Candidates some, base::Instant now);
    double loadOf(const wire::Presence& target, base::Instant now) const;
    double costOf(const wire::Presence& target, base::Instant now) const;
    void learnSpeed(Stats& stats, const Observation& observation);
    CallSize sizeOf(const CallToPlace& call) const;
    bool shouldCross(
        const wire::Presence& near, const wire::Presence& far, base::Instant now, const CallToPlace& call) const;
    double averageRunMs(const std::string& kind, double ms);
    const Stats* find(const std::string& target) const;

    std::string m_dataCentre;
    base::Random m_random;
    std::map<std::string, Stats> m_stats;
    CrossingPrice m_price;
    std::map<std::string, double> m_runMs; // by kind, over all targets
    std::map<std::string, double> m_responseBytes; // by kind
};

} // namespace pomelowind::targets
