// Simulation of service discovery without a network: nodes and the directories of two control hosts, which exchange
// presence at once and share a log of departures. Nodes and control hosts can lose what they know, as at a restart; the
// log is kept.
#pragma once

#include "node/DistributionCore.h"
#include "tests/support/RecordedOutputs.h"

#include <memory>
#include <string>
#include <vector>

namespace pomelowind::tests {

class GossipSim {
public:
    // Node 0 is beside the targets at TARGET_ADDRESS; all others are beside none.
    explicit GossipSim(int nodes);

    // Ends the process of node `i` and starts it again, connected to no control host yet.
    void restartNode(int i);
    // Ends the process of control host `i` and starts it again, with a directory that holds the departures of the log
    // and what the other control host knows.
    void restartControlHost(int i);
    // Ends all processes and starts them again.
    void restartEverything();
    // Lets time pass, in steps in which all messages arrive.
    void advance(base::Millis time);

    node::DistributionCore& node(int i) { return *m_nodes.at(static_cast<size_t>(i)).core; }
    // Returns whether node `i` may send calls to this incarnation of the target.
    bool isUsed(int i, const std::string& target, int64_t incarnation) const;
    // Returns whether the gate of node 0 admits calls for this incarnation of the target.
    bool isAdmitted(const std::string& target, int64_t incarnation) const;
    base::Instant now() const { return m_now; }

    static inline const base::Address TARGET_ADDRESS { "10.0.0.9", 8080 };
    static constexpr int64_t START_MS = 1700000000000; // wall clock at the start

private:
    struct Node {
        node::NodeSettings settings;
        RecordedOutputs outputs;
        std::unique_ptr<node::DistributionCore> core;
        std::string parent; // control host, once subscribed
        size_t handledParents { 0 };
        size_t handledFrames { 0 };
    };

    void startNode(Node& node);
    void exchange();
    void handleFrame(Node& node, const SentFrame& frame);
    void merge(size_t controlHost, const wire::Report& report);
    void record(const std::vector<wire::Presence>& targets);
    void spread(size_t controlHost, const nodes::DirectoryEntries& change);
    size_t indexOf(const std::string& controlHost) const;

    base::Instant m_now = base::Instant() + std::chrono::hours(1);
    base::Instant m_started = m_now;
    int64_t m_beacons { 0 };
    uint64_t m_seed { 1 };
    std::vector<Node> m_nodes;
    std::vector<nodes::Directory> m_controlHosts;
    std::vector<wire::Departure> m_log;
};

} // namespace pomelowind::tests
