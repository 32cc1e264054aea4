// Simulation in virtual time of a mesh in which everything may be restarted: three control hosts with their disks, and
// nodes that run the real distribution decisions. Node 0 is beside the target at TARGET_ADDRESS.
#pragma once

#include "node/DistributionCore.h"
#include "tests/support/ControlGroupSim.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pomelowind::tests {

class DepartureMesh {
public:
    static constexpr int HOSTS = 3;
    static inline const base::Address TARGET_ADDRESS { "10.0.9.1", 8080 };

    explicit DepartureMesh(int nodes, uint64_t seed = 1);
    ~DepartureMesh();

    void advance(base::Millis time);
    // Ends the process of a node and starts it again without what it knew.
    void restartNode(int i);
    // Ends all processes and starts them again. The disks of the control hosts are kept.
    void restartEverything();
    // Ends a control host until ControlGroupSim::restart().
    void stopHost(int i);
    // Node `i` reaches this control host only, or all of them again.
    void limitNode(int i, std::optional<int> host);
    // Returns whether a control host has admitted node `i` as a subscriber.
    bool isAdmitted(int i) const;

    void announce(int64_t born, int64_t sequence, wire::TargetState::type state = wire::TargetState::SERVING);
    void depart(int64_t born);
    // Asks node 0 whether the departure is recorded. Unset until it has answered.
    std::shared_ptr<std::optional<bool>> askRecorded();
    // Repeats the departure until it is acknowledged. Returns false when it is not within 5 s.
    bool departAcknowledged(int64_t born);
    // Returns whether any node may send calls to this incarnation, or the gate beside it admits them.
    bool isUsed(int64_t born) const;

    ControlGroupSim& group() { return m_group; }
    int leader() const { return m_group.leader(); }

private:
    class Node;

    ControlGroupSim m_group;
    std::vector<std::unique_ptr<Node>> m_nodes;
};

} // namespace pomelowind::tests
