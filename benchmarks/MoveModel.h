// A model of one move at the level of its decisions: calls are drawn at random, the planner, state machine and evidence
// book are the product's own. It also runs two baselines on the same traffic.
#pragma once

#include "pomelowind/base/Random.h"
#include "pomelowind/moves/EvidenceBook.h"
#include "pomelowind/moves/MoveMachine.h"
#include "pomelowind/moves/MovePlanner.h"

#include <cstdint>
#include <string>

namespace pomelowind::bench {

// How a new version is bad.
enum class Badness { None, Fails, OneRoute, Slow, Load, Leak, Late, Crashes, LiesInHealth, OneAccount };

constexpr int BADNESS_KINDS = 10;
const char* badnessName(Badness kind);

// One drawn situation.
struct Scenario {
    double callsPerSecond { 500 };
    int targets { 8 };
    int slots { 12 };
    int64_t deadlineMs { 40000 };
    int64_t watchMs { 5000 };
    double baseFailure { 0.001 };
    Badness badness { Badness::None };
    double failRate { 0.05 };
    double slowFactor { 2 };
    bool platformDip { false }; // a data centre fails for a while, for both versions alike
    bool hostLoss { false }; // one of the new version's hosts dies
};

struct MoveResult {
    bool done { false };
    bool onTime { false };
    bool takenBack { false };
    int64_t harmedCalls { 0 }; // calls on a bad version that failed or were slow because of it
    int64_t totalCalls { 0 };
    int64_t toZeroMs { -1 }; // from the first harmed call to share zero
    int64_t overGranted { 0 }; // calls on the new version beyond the granted share
    std::string reason;
};

class MoveModel {
public:
    MoveModel(const Scenario& scenario, uint64_t seed);

    // The product's planner.
    MoveResult runPlanned();
    // 1, 10, 50, 100 percent at equal times; back when the new version's failure rate passes a threshold.
    MoveResult runFixedSteps();
    // All traffic at once; back when the failure rate passes a threshold.
    MoveResult runBlueGreen();

private:
    struct Tick {
        moves::Sample candidate;
        moves::Sample stable;
    };

    // Draws the calls of one period with `permille` on the new version, and counts harm.
    Tick draw(int64_t nowMs, int32_t permille, moves::EvidenceBook* book, MoveResult& result);
    void drawCall(int64_t nowMs, bool isCandidate, int32_t permille, std::vector<wire::EvidenceCell>& cells, Tick& tick,
        MoveResult& result);
    bool isHarmed(int64_t nowMs, int32_t permille, int route, int account, double& latencyMs);
    MoveResult runThreshold(const std::vector<int32_t>& steps);

    Scenario m_scenario;
    base::Random m_random;
    double m_carry { 0 };
    double m_exposureCredit { 0 };
    int64_t m_exposedSinceMs { -1 };
    int64_t m_firstHarmMs { -1 };
    int64_t m_dipFromMs { 0 };
};

} // namespace pomelowind::bench
