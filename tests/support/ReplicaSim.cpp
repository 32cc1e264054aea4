#include "tests/support/ReplicaSim.h"

namespace pomelowind::tests {

using base::Millis;
using members::Ready;

ReplicaSim::ReplicaSim(SimOptions options, uint64_t seed)
    : m_options(options)
    , m_random(seed)
    , m_now(base::Instant() + std::chrono::hours(1))
{
    wire::Membership membership;
    for (int i = 0; i < options.hosts; ++i)
        membership.voters.push_back("c" + std::to_string(i));
    for (const auto& it : membership.voters) {
        auto& host = m_hosts[it];
        host.durable.diskId = "disk" + std::to_string(m_diskCount++);
        wire::SnapshotRecord first;
        first.index = 1;
        first.term = 1;
        first.membership = membership;
        host.durable.snapshot = first;
        host.durable.hardState.term = 1;
        restart(it);
    }
}

std::vector<std::string> ReplicaSim::hosts() const
{
    std::vector<std::string> out;
    for (const auto& [name, host] : m_hosts)
        out.push_back(name);
    return out;
}

std::string ReplicaSim::leader() const
{
    std::string out;
    int64_t term = 0;
    for (const auto& [name, host] : m_hosts) {
        if (host.replica && host.replica->isLeader() && host.replica->term() > term) {
            out = name;
            term = host.replica->term();
        }
    }
    return out;
}

void ReplicaSim::restart(const std::string& name)
{
    auto& host = m_hosts.at(name);
    if (host.replica)
        return;
    members::ReplicaOptions options;
    options.self = name;
    options.seed = m_random.next();
    host.replica = std::make_unique<members::Replica>(options, host.durable, m_now);
}

void ReplicaSim::crash(const std::string& name)
{
    auto& host = m_hosts.at(name);
    host.replica.reset();
    host.pendingWrites.clear();
}

void ReplicaSim::loseDisk(const std::string& name)
{
    crash(name);
    auto& host = m_hosts.at(name);
    host.durable = {};
    host.durable.diskId = "disk" + std::to_string(m_diskCount++);
    host.durable.recovering = true;
}

void ReplicaSim::processReady(const std::string& name)
{
    auto& host = m_hosts.at(name);
    if (!host.replica)
        return;
    Ready ready = host.replica->takeReady();
    sendAll(name, ready.messages);
    checkCommitted(name, ready.committed);
    if (ready.needsPersist() || (!host.pendingWrites.empty() && !ready.messagesAfterPersist.empty()))
        host.pendingWrites.push_back(std::move(ready));
    else
        sendAll(name, ready.messagesAfterPersist);
    if (host.replica->isLeader()) {
        auto [it, isNew] = m_leaders.emplace(host.replica->term(), name);
        if (!isNew && it->second != name)
            m_violation = "two leaders in term " + std::to_string(host.replica->term());
        checkLeases(name);
    }
}

void ReplicaSim::completeWrite(const std::string& name)
{
    auto& host = m_hosts.at(name);
    if (!host.replica || host.pendingWrites.empty())
        return;
    Ready ready = std::move(host.pendingWrites.front());
    host.pendingWrites.pop_front();
    auto& durable = host.durable;
    if (ready.snapshotToInstall) {
        durable.snapshot = *ready.snapshotToInstall;
        durable.entries.clear();
    }
    if (ready.hardState)
        durable.hardState = *ready.hardState;
    if (ready.reinstated)
        durable.recovering = false;
    for (const auto& it : ready.entriesToAppend) {
        while (!durable.entries.empty() && durable.entries.back().index >= it.index)
            durable.entries.pop_back();
        durable.entries.push_back(it);
    }
    if (!ready.entriesToAppend.empty())
        host.replica->onPersisted(ready.entriesToAppend.back().index, ready.entriesToAppend.back().term);
    sendAll(name, ready.messagesAfterPersist);
    processReady(name);
}

void ReplicaSim::sendAll(const std::string& from, const std::vector<members::OutgoingMessage>& messages)
{
    for (const auto& it : messages) {
        if (m_cutLinks.count({ from, it.to }) || m_random.bernoulli(m_options.lossProbability))
            continue;
        m_inFlight.push_back({ from, it.to, it.message });
        if (m_random.bernoulli(m_options.duplicateProbability))
            m_inFlight.push_back({ from, it.to, it.message });
    }
}

void ReplicaSim::deliver(size_t i)
{
    InFlightMessage flight = std::move(m_inFlight[i]);
    m_inFlight.erase(m_inFlight.begin() + static_cast<long>(i));
    auto it = m_hosts.find(flight.to);
    if (it == m_hosts.end() || !it->second.replica || m_cutLinks.count({ flight.from, flight.to }))
        return;
    it->second.replica->receive(flight.from, flight.message, m_now);
    processReady(flight.to);
}

// No leader of an earlier term may still have a lease, because it would answer reads with old state.
void ReplicaSim::checkLeases(const std::string& leader)
{
    auto term = m_hosts.at(leader).replica->term();
    for (const auto& [name, host] : m_hosts) {
        if (host.replica && host.replica->term() < term && host.replica->hasLease(m_now))
            m_violation = name + " has a lease while " + leader + " is the leader of term " + std::to_string(term);
    }
}

// All hosts must apply the same entry at an index.
void ReplicaSim::checkCommitted(const std::string& name, const std::vector<wire::Entry>& committed)
{
    for (const auto& it : committed) {
        auto [known, isNew] = m_committed.emplace(it.index, std::make_pair(it.term, it.data));
        if (!isNew && known->second != std::make_pair(it.term, it.data))
            m_violation = name + " applied a different entry at index " + std::to_string(it.index);
    }
}

void ReplicaSim::propose()
{
    for (auto& [name, host] : m_hosts) {
        if (!host.replica || !host.replica->isLeader())
            continue;
        host.replica->propose(wire::EntryKind::COMMAND, "e" + std::to_string(m_proposalCount++), m_now);
        processReady(name);
    }
}

void ReplicaSim::advance(Millis time)
{
    m_now += time;
    for (auto& [name, host] : m_hosts) {
        if (!host.replica)
            continue;
        host.replica->tick(m_now);
        processReady(name);
    }
}

void ReplicaSim::deliverAll()
{
    for (int i = 0; i < 20000; ++i) {
        bool idle = m_inFlight.empty();
        if (!idle)
            deliver(0);
        for (auto& [name, host] : m_hosts) {
            idle = idle && host.pendingWrites.empty();
            completeWrite(name);
        }
        if (idle)
            return;
    }
}

void ReplicaSim::injectRandomFault()
{
    auto names = hosts();
    const auto& name = names[m_random.uniformBelow(names.size())];
    const auto& other = names[m_random.uniformBelow(names.size())];
    switch (m_random.uniformBelow(8)) {
    case 0:
        return crash(name);
    case 1:
    case 2:
    case 3:
        for (const auto& it : names)
            restart(it);
        return;
    case 4:
        if (name != other)
            cut(name, other);
        return;
    case 5:
    case 6:
        return heal();
    default:
        break;
    }
    if (!m_options.loseDisks)
        return;
    // At most one disk is lost at a time: a group of three does not survive the loss of two.
    for (const auto& [it, host] : m_hosts) {
        bool intact = host.replica && !host.replica->isRecovering() && !host.durable.recovering;
        if (!intact)
            return;
    }
    loseDisk(name);
    restart(name);
}

void ReplicaSim::step()
{
    auto roll = m_random.uniformBelow(100);
    if (roll < 20)
        advance(Millis(10 + static_cast<int64_t>(m_random.uniformBelow(60))));
    else if (roll < 60 && !m_inFlight.empty())
        deliver(m_random.uniformBelow(m_inFlight.size()));
    else if (roll < 85) {
        auto names = hosts();
        completeWrite(names[m_random.uniformBelow(names.size())]);
    } else if (roll < 97)
        propose();
    else
        injectRandomFault();
}

void ReplicaSim::settle()
{
    heal();
    m_options.lossProbability = 0;
    for (const auto& it : hosts())
        restart(it);
    for (int round = 0; round < 400; ++round) {
        advance(Millis(30));
        deliverAll();
    }
    propose();
    deliverAll();
    advance(Millis(100));
    deliverAll();
}

} // namespace pomelowind::tests
