// Simulation of a group of control hosts in virtual time: real ControlCores and log stores, with an in-memory network
// and in-memory disks that can be full. A host that throws is reported by failure().
#pragma once

#include "control/ControlCore.h"
#include "control/DiskWriter.h"
#include "tests/support/FullDisk.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pomelowind::tests {

class ControlGroupSim {
public:
    // The first three hosts are the seeds, and so the first voters; further ones join as learners.
    ControlGroupSim(int hosts, uint64_t seed);
    ~ControlGroupSim();

    // Lets time pass in steps of a millisecond.
    void advance(base::Millis time);
    // Ends the process of a host and starts it again from its disk.
    void restart(int i);
    // Ends the process of a host until restart().
    void stop(int i);
    bool isRunning(int i) const;
    // Drops the frames between two hosts for which `isCut` is true when they arrive.
    void setCut(std::function<bool(int from, int to)> isCut) { m_isCut = std::move(isCut); }
    // Delays some of the commands that hosts forward to the leader by up to this time.
    void setForwardDelay(base::Millis most) { m_forwardDelay = most; }
    // Receives what the hosts send to nodes.
    using NodeSink
        = std::function<void(int host, const std::string& node, links::Kind kind, const std::string& payload)>;
    void setNodeSink(NodeSink sink) { m_nodeSink = std::move(sink); }
    // Delivers a frame of a node, or the loss of its link, to a host.
    void deliver(int host, const std::string& node, links::Kind kind, const std::string& payload);
    void disconnect(int host, const std::string& node);
    // Connects all hosts again, as after a partition.
    void reconnect();
    // Index of the leader, or -1 if no host leads with a lease.
    int leader() const;
    FullDisk& disk(int i);
    control::ControlCore& core(int i);
    int size() const { return static_cast<int>(m_hosts.size()); }
    // Submits a command at a host. Its result is in `result` once it has been answered.
    void submit(int i, wire::Command command, const std::shared_ptr<std::optional<wire::CommandResult>>& result);
    // Asks for a read at a host. `result` tells whether it may be served, once that is known.
    void read(int i, const std::shared_ptr<std::optional<bool>>& result);
    base::Instant now() const { return m_now; }
    // Describes the first exception that left a host; empty if none did.
    const std::string& failure() const { return m_failure; }

private:
    class Host;
    struct Frame {
        base::Instant arrives;
        size_t from;
        size_t to;
        links::Kind kind;
        std::string payload;
    };

    Host& host(int i) const { return *m_hosts.at(static_cast<size_t>(i)); }
    void start(Host& host);
    void send(Frame frame);
    void connectAll(size_t i);
    template <class Task> void guarded(Task task);

    base::Instant m_now = base::Instant() + std::chrono::hours(1);
    base::Instant m_started = m_now;
    uint64_t m_seed;
    base::Random m_random;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::deque<Frame> m_frames;
    std::string m_failure;
    std::function<bool(int, int)> m_isCut;
    base::Millis m_forwardDelay { 0 };
    NodeSink m_nodeSink;
};

} // namespace pomelowind::tests
