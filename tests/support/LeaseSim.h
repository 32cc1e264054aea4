// Virtual-time model of the leases within which nodes honour keys: control hosts, relaying nodes and nodes with
// nodes::FreshnessProof, each with a clock of its own rate, over a network that delays, reorders, loses and withholds
// messages. Elections are modelled by their guarantee alone: at most one host holds the leader's lease.
#pragma once

#include "pomelowind/base/Random.h"
#include "pomelowind/nodes/FreshnessProof.h"

#include <map>
#include <vector>

namespace pomelowind::tests {

struct LeaseSchedule {
    uint64_t seed { 1 };
    bool faults { true }; // partitions, freezes, restarts, lost leaders, late messages; otherwise a calm network
    bool startFromReceipt { false }; // a wrong rule: the proof starts when the answer arrives
};

class LeaseSim {
public:
    static constexpr base::Millis REVOKE { 5000 };

    explicit LeaseSim(const LeaseSchedule& schedule);
    void run(base::Millis time);
    // Cuts all links of this node. Precondition: no faults.
    void isolate(size_t node) { m_hosts[CONTROL_HOSTS + node].group = 1; }
    bool honoursKeys(size_t node) const;
    size_t nodeCount() const { return NODES; }
    // The longest time for which a node honoured a key after the acknowledged removal.
    base::Millis longestAfterRemoval() const { return base::Millis(m_longest / 1000); }
    // Steps in which a node in the model honoured keys, and all of them.
    uint64_t honoured() const { return m_honoured; }
    uint64_t steps() const { return m_steps; }

private:
    static constexpr size_t CONTROL_HOSTS = 3;
    static constexpr size_t NODES = 6; // the last three are children of the first three
    static constexpr size_t RELAYS = 3;

    struct Host {
        double rate { 1 }; // of its clock
        int64_t offset { 0 };
        int group { 0 }; // hosts of different groups are partitioned from each other
        int64_t frozenUntil { 0 };
        int64_t due { 0 }; // of the next request
        int64_t publishDue { 0 };
        int64_t life { 0 }; // counts restarts
        int64_t version { 0 };
        size_t parent { 0 };
        nodes::FreshnessProof proof;
    };
    struct Message {
        size_t from { 0 }, to { 0 };
        int64_t life { 0 };
        enum { Request, Answer, Version } kind { Request };
        wire::FreshnessRequest request;
        wire::FreshnessAnswer answer;
        int64_t version { 0 };
    };

    base::Instant clockOf(const Host& host) const;
    bool isNode(size_t id) const { return id >= CONTROL_HOSTS; }
    int64_t below(int64_t n) { return static_cast<int64_t>(m_random.uniformBelow(static_cast<uint64_t>(n))); }
    void step();
    void lead();
    void inject();
    void work(size_t id);
    void send(Message message);
    void deliver();
    void handle(const Message& message);
    void setVersion(Host& host, int64_t version);
    bool honours(const Host& host) const;
    void check();

    LeaseSchedule m_schedule;
    base::Random m_random;
    std::vector<Host> m_hosts;
    std::multimap<int64_t, Message> m_messages; // by arrival
    int64_t m_now { 0 }; // microseconds of true time
    size_t m_leader { 0 };
    int64_t m_leaseEnd { 0 };
    int64_t m_electionAt { 0 }; // when another leader has committed in its term
    int64_t m_releaseDue { 0 };
    std::vector<int64_t> m_acknowledged { 0 }; // true time of the acknowledgement, by version
    int64_t m_longest { 0 };
    uint64_t m_honoured { 0 };
    uint64_t m_steps { 0 };
};

} // namespace pomelowind::tests
