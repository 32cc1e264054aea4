// Seeded simulation of a group of replicas with a fake network and fake disks: messages are lost, duplicated and
// reordered, hosts crash with unwritten data, disks are lost, and links are cut in one or both directions.
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
    double lossProbability { 0.02 }; // probability that a message is lost
    double duplicateProbability { 0.02 }; // probability that a message is duplicated
    bool loseDisks { false }; // whether random faults include the loss of a disk
};

// Simulated group. Checks its invariants after each event; see violation().
class ReplicaSim {
public:
    ReplicaSim(SimOptions options, uint64_t seed);

    // Runs one random event: time passes, a message arrives, a disk write completes, an entry is proposed, or a host or
    // link fails or recovers.
    void step();
    // Ends all faults and lets enough time pass for a leader to commit all entries and one more.
    void settle();
    // Proposes an entry at every host that is in the leader role.
    void propose();

    // Stops a host. Writes that were not yet durable are lost.
    void crash(const std::string& host);
    // Starts a host from its durable state, if it is stopped.
    void restart(const std::string& host);
    // Stops a host and gives it an empty disk.
    void loseDisk(const std::string& host);
    // Drops messages in one direction until heal().
    void cut(const std::string& from, const std::string& to) { m_cutLinks.insert({ from, to }); }
    void heal() { m_cutLinks.clear(); }
    // Lets time pass at all running hosts.
    void advance(base::Millis time);
    // Delivers messages and completes disk writes until none are left.
    void deliverAll();

    std::vector<std::string> hosts() const;
    // Returns the leader of the highest term, or an empty string.
    std::string leader() const;
    const members::Replica& replica(const std::string& host) const { return *m_hosts.at(host).replica; }
    bool isUp(const std::string& host) const { return m_hosts.at(host).replica != nullptr; }
    // Describes a violated invariant; empty when all held.
    const std::string& violation() const { return m_violation; }
    size_t committedCount() const { return m_committed.size(); }

private:
    struct Host {
        members::DurableState durable;
        std::unique_ptr<members::Replica> replica;
        std::deque<members::Ready> pendingWrites; // in order
    };
    struct InFlightMessage {
        std::string from;
        std::string to;
        members::Message message;
    };

    void processReady(const std::string& host);
    void completeWrite(const std::string& host);
    void sendAll(const std::string& host, const std::vector<members::OutgoingMessage>& messages);
    void deliver(size_t i);
    void checkCommitted(const std::string& host, const std::vector<wire::Entry>& committed);
    void checkLeases(const std::string& leader);
    void injectRandomFault();

    SimOptions m_options;
    base::Random m_random;
    base::Instant m_now;
    std::map<std::string, Host> m_hosts;
    std::vector<InFlightMessage> m_inFlight;
    std::set<std::pair<std::string, std::string>> m_cutLinks; // sender and receiver
    std::map<int64_t, std::pair<int64_t, std::string>> m_committed; // term and data by index
    std::map<int64_t, std::string> m_leaders; // host by term
    std::string m_violation;
    int m_proposalCount { 0 };
    int m_diskCount { 0 };
};

} // namespace pomelowind::tests
