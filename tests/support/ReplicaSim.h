// A seeded schedule over replicas of the log with a fake network and fake disks: messages are lost, repeated and
// reordered, hosts crash with unwritten data, disks are lost, and hosts are cut off in one or both directions.
#pragma once

#include "pomelowind/base/Random.h"
#include "pomelowind/members/Replica.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pomelowind::tests {

struct SimOptions {
    int hosts { 3 };
    double loss { 0.02 };
    double repeat { 0.02 };
    bool loseDisks { false };
};

class ReplicaSim {
public:
    ReplicaSim(SimOptions options, uint64_t seed);

    // One random event: time passes, a message arrives, a disk write ends, a host fails or comes back.
    void step();
    // Ends all faults and lets time pass until a leader has committed everything.
    void settle();
    // Proposes an entry at every host that believes it leads.
    void propose();

    void crash(const std::string& host);
    void restart(const std::string& host);
    void loseDisk(const std::string& host);
    void cut(const std::string& from, const std::string& to) { m_cut.insert({ from, to }); }
    void heal() { m_cut.clear(); }
    void advance(base::Millis time);
    void deliverAll();

    std::vector<std::string> hosts() const;
    std::string leader() const;
    const members::Replica& replica(const std::string& host) const { return *m_hosts.at(host).replica; }
    bool isUp(const std::string& host) const { return m_hosts.at(host).replica != nullptr; }
    // What was found broken; empty when all invariants held.
    const std::string& violation() const { return m_violation; }
    size_t committedCount() const { return m_committed.size(); }

private:
    struct Host {
        members::DurableState durable;
        std::unique_ptr<members::Replica> replica;
        std::deque<members::Ready> disk;
    };
    struct Flight {
        std::string from;
        std::string to;
        members::Message message;
    };

    void pump(const std::string& host);
    void writeOne(const std::string& host);
    void sendAll(const std::string& host, const std::vector<members::Outgoing>& messages);
    void deliver(size_t i);
    void check(const std::string& host, const std::vector<wire::Entry>& committed);
    void checkLeases(const std::string& leader);
    void randomFault();

    SimOptions m_options;
    base::Random m_random;
    base::Instant m_now;
    std::map<std::string, Host> m_hosts;
    std::vector<Flight> m_flights;
    std::set<std::pair<std::string, std::string>> m_cut;
    std::map<int64_t, std::pair<int64_t, std::string>> m_committed; // index -> term and data
    std::map<int64_t, std::string> m_leaders; // term -> host
    std::string m_violation;
    int m_proposed { 0 };
    int m_disks { 0 };
};

} // namespace pomelowind::tests
