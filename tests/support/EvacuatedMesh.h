// Simulation in virtual time of a mesh whose data centres are evacuated: three control hosts, one in each data centre,
// nodes that run the real distribution and evacuation decisions, and an operator. Hosts and nodes end and start again,
// data centres are partitioned, and answers to the operator are lost.
#pragma once

#include "node/DistributionCore.h"
#include "node/Evacuations.h"
#include "tests/support/ControlGroupSim.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pomelowind::tests {

class EvacuatedMesh {
public:
    static constexpr int DATA_CENTRES = 3;

    EvacuatedMesh(int nodes, uint64_t seed);
    ~EvacuatedMesh();

    // Runs a random schedule of orders and failures. Returns the first violation, or an empty string.
    std::string run(base::Millis time);
    // Orders that were acknowledged so far.
    int acknowledged() const { return m_acknowledged; }
    // Checks of a node in contact against an order in force.
    int checks() const { return m_checks; }

private:
    class Node;
    // The latest order for a data centre.
    struct Order {
        bool isStart { false };
        std::optional<base::Instant> acknowledgedAt;
        std::shared_ptr<std::optional<wire::CommandResult>> result;
        base::Instant sentAt;
        base::Instant dueAt; // of the next order
    };

    void step();
    void operate(int dataCentre);
    void fail();
    void check();
    void sendOrder(int dataCentre);
    bool isCutOff(int dataCentre) const { return m_cutDataCentre == dataCentre; }
    bool isReachable(int fromDataCentre, int toDataCentre) const;

    ControlGroupSim m_group;
    base::Random m_random;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<Order> m_orders; // by data centre
    std::vector<base::Instant> m_startHost; // by control host: when a stopped one starts
    int m_cutDataCentre { -1 };
    base::Instant m_cutEnds;
    base::Instant m_nextFailure;
    base::Instant m_leaderSince; // since when some host leads; unset while none does
    std::string m_violation;
    int m_acknowledged { 0 };
    int m_checks { 0 };
};

} // namespace pomelowind::tests
