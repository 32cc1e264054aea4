// Virtual-time model of the end of an evacuation: the targets of one data centre get calls again while they are cold.
// It runs the decisions of the product (Balancer, Gate, ColdState) at every node; network, presence and targets are
// models. Nodes have calls at different rates, each has one target, and heartbeats and presence arrive late.
#pragma once

#include "pomelowind/base/Time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace pomelowind::tests {

class ColdReturnSim {
public:
    enum class Balancing {
        Naive, // nodes choose as if no target were cold
        Aware, // nodes know the cold targets
    };
    struct Options {
        int nodes { 78 };
        Balancing balancing { Balancing::Aware };
        uint64_t seed { 1 };
        double coldCallsPerSecond { 13 };
        base::Millis coldStart { 3000 };
        base::Millis after { 7000 }; // time that is simulated after the return
        double callsPerSecondAtNode { 20 }; // average; each node has 0.7 to 1.35 times as many
    };
    struct Result {
        int mostInOneSecond { 0 }; // calls that a target of the returned data centre got while it was cold
        int calls { 0 }; // all of the time after the end of the evacuation
        int callsRefused { 0 }; // answered with 503
        int attemptsRefused { 0 }; // by gates of cold targets
        int crossings { 0 }; // attempts that ran in another data centre than their caller's node
        // Time from the end of the evacuation until the targets there get their usual share; -1: not within the run.
        int untilFullShareMs { -1 };
        int coldServed { 0 }; // calls served there in the second that begins half a second after the return
    };

    explicit ColdReturnSim(Options options);
    ~ColdReturnSim();
    Result run();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pomelowind::tests
