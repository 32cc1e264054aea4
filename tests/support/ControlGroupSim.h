// Simulation of a group of control hosts in virtual time: real ControlCores and log stores, with an in-memory network
// and in-memory disks that can be full. A host that throws is reported by failure().
#pragma once

#include "control/ControlCore.h"
#include "control/DiskWriter.h"
#include "tests/support/FullDisk.h"

#include <deque>
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
    void connectAll(size_t i);
    template <class Task> void guarded(Task task);

    base::Instant m_now = base::Instant() + std::chrono::hours(1);
    base::Instant m_started = m_now;
    uint64_t m_seed;
    base::Random m_random;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::deque<Frame> m_frames;
    std::string m_failure;
};

} // namespace pomelowind::tests
