// Simulates one move without a network: calls and their results are drawn at random, while the planner, the state
// machine and the evidence aggregator are those of the control plane. Also runs two baseline rollout strategies on the
// same traffic model.
#pragma once

#include "pomelowind/base/Random.h"
#include "pomelowind/moves/EvidenceAggregator.h"
#include "pomelowind/moves/MoveMachine.h"
#include "pomelowind/moves/MovePlanner.h"

#include <cstdint>
#include <string>

namespace pomelowind::bench {

// The fault of a simulated candidate version.
enum class VersionFault { None, Fails, OneRoute, Slow, Load, Leak, Late, Crashes, LiesInHealth, OneAccount };

constexpr int FAULT_KINDS = 10;
const char* faultName(VersionFault kind);

// The conditions of one simulated move.
struct Scenario {
    double callsPerSecond { 500 };
    int targets { 8 };
    int slots { 12 };
    int64_t deadlineMs { 40000 };
    int64_t watchMs { 5000 };
    double baseFailure { 0.001 };
    VersionFault fault { VersionFault::None };
    double failRate { 0.05 };
    double slowFactor { 2 };
    bool dataCentreOutage { false }; // one data centre has an outage that affects both versions
    bool hostFailure { false }; // one host of the candidate fails
};

// The outcome of one simulated move.
struct MoveResult {
    bool done { false };
    bool onTime { false };
    bool rolledBack { false };
    int64_t harmedCalls { 0 }; // candidate calls that failed or were slow because of its fault
    int64_t totalCalls { 0 };
    int64_t rollbackMs { -1 }; // from the first harmed call to a zero share on every node; -1 without harm or rollback
    int64_t callsOverGrant { 0 }; // candidate calls beyond the granted share
    std::string reason;
};

// Simulates one scenario; create one for each run. Thread safety: none.
class MoveModel {
public:
    MoveModel(const Scenario& scenario, uint64_t seed);

    // Runs the control plane's planner.
    MoveResult runPlanned();
    // Baseline: steps of 1, 10, 50 and 100 percent of equal length; rolls back when the candidate's failure ratio
    // exceeds a threshold.
    MoveResult runFixedSteps();
    // Baseline: all traffic at once; rolls back when the failure ratio exceeds a threshold.
    MoveResult runBlueGreen();

private:
    struct TickSamples {
        moves::Sample candidate;
        moves::Sample stable;
    };

    // Simulates the calls of one tick with a candidate share of `permille`, and counts the harmed ones.
    TickSamples simulateTick(
        int64_t nowMs, int32_t permille, moves::EvidenceAggregator* aggregator, MoveResult& result);
    void simulateCall(int64_t nowMs, bool isCandidate, int32_t permille, std::vector<wire::EvidenceCell>& cells,
        TickSamples& tick, MoveResult& result);
    // Applies the fault to a candidate call: may increase `latencyMs`; returns whether the call is harmed.
    bool applyFault(int64_t nowMs, int32_t permille, int route, int account, double& latencyMs);
    MoveResult runThreshold(const std::vector<int32_t>& steps);

    Scenario m_scenario;
    base::Random m_random;
    double m_callCredit { 0 };
    double m_exposureCredit { 0 };
    int64_t m_exposedSinceMs { -1 };
    int64_t m_firstHarmMs { -1 };
    int64_t m_outageFromMs { 0 };
};

} // namespace pomelowind::bench
