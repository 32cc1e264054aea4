#include "tests/support/LeaseSim.h"

#include <algorithm>

namespace pomelowind::tests {

using base::Instant;

namespace {

    constexpr int64_t MS = 1000;
    constexpr int64_t STEP = 10 * MS;
    constexpr int64_t LEADER_LEASE = 320 * MS;
    constexpr int64_t ELECTION = 400 * MS;
    constexpr int64_t FOLLOWER_PERIOD = 250 * MS;
    constexpr int64_t NODE_TICK = 50 * MS;
    constexpr int64_t PUBLISH_PERIOD = 200 * MS;
    constexpr int64_t MAX_DELAY = 60 * MS; // one way, between data centres
    constexpr double MAX_RATE_ERROR = 0.001;
    const nodes::LeaseBounds BOUNDS { LeaseSim::REVOKE };

}

LeaseSim::LeaseSim(const LeaseSchedule& schedule)
    : m_schedule(schedule)
    , m_random(schedule.seed)
    , m_hosts(CONTROL_HOSTS + NODES)
{
    for (size_t i = 0; i < m_hosts.size(); ++i) {
        m_hosts[i].rate = 1 + MAX_RATE_ERROR * (2 * m_random.uniformReal() - 1);
        m_hosts[i].offset = below(int64_t(1) << 40) + 1000000 * MS;
        m_hosts[i].parent = i >= CONTROL_HOSTS + RELAYS ? i - RELAYS : static_cast<size_t>(below(CONTROL_HOSTS));
        m_hosts[i].due = below(500 * MS);
    }
}

Instant LeaseSim::clockOf(const Host& host) const
{
    return Instant(base::Micros(host.offset + static_cast<int64_t>(static_cast<double>(m_now) * host.rate)));
}

void LeaseSim::run(base::Millis time)
{
    for (auto end = m_now + time.count() * MS; m_now < end; m_now += STEP)
        step();
}

void LeaseSim::step()
{
    if (m_schedule.faults)
        inject();
    lead();
    deliver();
    for (size_t i = 0; i < m_hosts.size(); ++i) {
        if (m_hosts[i].frozenUntil <= m_now)
            work(i);
    }
    check();
}

void LeaseSim::inject()
{
    auto& host = m_hosts[static_cast<size_t>(below(static_cast<int64_t>(m_hosts.size())))];
    if (m_random.bernoulli(0.005))
        host.group = static_cast<int>(below(3));
    if (m_random.bernoulli(0.004))
        std::for_each(m_hosts.begin(), m_hosts.end(), [](Host& it) { it.group = 0; });
    if (m_random.bernoulli(0.005))
        host.frozenUntil = m_now + below(m_random.bernoulli(0.3) ? 9000 * MS : 1500 * MS);
    auto& node = m_hosts[CONTROL_HOSTS + static_cast<size_t>(below(NODES))];
    if (m_random.bernoulli(0.003)) { // restart
        node.version = 0;
        node.proof = {};
        ++node.life;
    }
    auto& relay = m_hosts[CONTROL_HOSTS + static_cast<size_t>(below(RELAYS))];
    if (m_random.bernoulli(0.003))
        relay.parent = static_cast<size_t>(below(CONTROL_HOSTS));
}

// Renews the leader's lease, elects another leader after it has ended, and commits and acknowledges new versions.
void LeaseSim::lead()
{
    auto reaches = [this](size_t id) {
        return std::count_if(m_hosts.begin(), m_hosts.begin() + CONTROL_HOSTS, [&](const Host& it) {
            return it.group == m_hosts[id].group && it.frozenUntil <= m_now;
        }) >= 2;
    };
    bool runs = m_hosts[m_leader].frozenUntil <= m_now;
    if (runs && m_now < std::max<int64_t>(1, m_leaseEnd) && reaches(m_leader)) {
        m_leaseEnd = m_now + LEADER_LEASE;
        m_electionAt = m_leaseEnd + ELECTION - LEADER_LEASE + below(300 * MS);
    }
    if (m_now >= m_leaseEnd && m_now >= m_electionAt) {
        auto next = static_cast<size_t>(below(CONTROL_HOSTS));
        if (m_hosts[next].frozenUntil > m_now || !reaches(next))
            return;
        m_leader = next;
        m_leaseEnd = m_now + LEADER_LEASE;
        setVersion(m_hosts[next], static_cast<int64_t>(m_acknowledged.size()) - 1);
    }
    if (m_now < m_releaseDue || m_now >= m_leaseEnd || m_hosts[m_leader].frozenUntil > m_now)
        return;
    m_releaseDue = m_now + 100 * MS + below(2500 * MS);
    m_acknowledged.push_back(m_now);
    setVersion(m_hosts[m_leader], static_cast<int64_t>(m_acknowledged.size()) - 1);
}

void LeaseSim::setVersion(Host& host, int64_t version)
{
    host.version = std::max(host.version, version);
    host.proof.setVersion(host.version);
}

void LeaseSim::work(size_t id)
{
    auto& host = m_hosts[id];
    bool leads = id == m_leader && m_now < m_leaseEnd;
    if (leads || isNode(id)) {
        if (m_now >= host.publishDue) {
            host.publishDue = m_now + PUBLISH_PERIOD;
            for (size_t i = 0; i < m_hosts.size(); ++i) {
                if (i != id && (leads ? !isNode(i) || m_hosts[i].parent == id : m_hosts[i].parent == id && isNode(i)))
                    send({ id, i, m_hosts[i].life, Message::Version, {}, {}, host.version });
            }
        }
    } else if (m_now >= host.publishDue) {
        host.publishDue = m_now + PUBLISH_PERIOD;
        for (size_t i = CONTROL_HOSTS; i < m_hosts.size(); ++i) {
            if (m_hosts[i].parent == id)
                send({ id, i, m_hosts[i].life, Message::Version, {}, {}, host.version });
        }
    }
    if (leads || m_now < host.due)
        return;
    host.due = m_now + (isNode(id) ? BOUNDS.requestPeriod(true).count() * MS + below(NODE_TICK) : FOLLOWER_PERIOD);
    Message message { id, isNode(id) ? host.parent : m_leader, 0, Message::Request, {}, {}, host.life };
    message.request = host.proof.request(clockOf(host));
    send(message);
}

void LeaseSim::send(Message message)
{
    auto delay = MS + below(MAX_DELAY);
    if (m_schedule.faults && m_random.bernoulli(0.05))
        delay += below(8000 * MS);
    bool apart = m_hosts[message.from].group != m_hosts[message.to].group;
    // A partition loses messages or withholds them until it has ended.
    if (apart && (!m_schedule.faults || m_random.bernoulli(0.5)))
        return;
    if (apart)
        delay += below(8000 * MS);
    m_messages.emplace(m_now + delay, message);
}

void LeaseSim::deliver()
{
    while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
        auto message = m_messages.extract(m_messages.begin()).mapped();
        if (m_hosts[message.to].frozenUntil > m_now)
            m_messages.emplace(m_hosts[message.to].frozenUntil, message); // waits in the socket
        else
            handle(message);
    }
}

void LeaseSim::handle(const Message& message)
{
    auto& host = m_hosts[message.to];
    if (message.kind == Message::Request) {
        if (message.to == m_leader && m_now < m_leaseEnd)
            host.proof.proveAsLeader(clockOf(host));
        Message answer { message.to, message.from, message.version, Message::Answer, {}, {}, 0 };
        answer.answer = host.proof.answer(message.request, clockOf(host));
        return send(answer);
    }
    if (message.life != host.life)
        return; // of a link that a restart has closed
    if (message.kind == Message::Version)
        return setVersion(host, message.version);
    auto answer = message.answer;
    if (m_schedule.startFromReceipt)
        answer.sentAt = host.proof.request(clockOf(host)).sentAt;
    host.proof.onAnswer(answer);
}

bool LeaseSim::honours(const Host& host) const
{
    auto start = host.proof.provenAt();
    return host.version > 0 && start && clockOf(host) < *start + BOUNDS.length();
}

bool LeaseSim::honoursKeys(size_t node) const { return honours(m_hosts[CONTROL_HOSTS + node]); }

void LeaseSim::check()
{
    for (size_t i = CONTROL_HOSTS; i < m_hosts.size(); ++i) {
        const auto& host = m_hosts[i];
        if (host.frozenUntil > m_now)
            continue;
        ++m_steps;
        if (!honours(host))
            continue;
        ++m_honoured;
        auto next = static_cast<size_t>(host.version) + 1;
        if (next < m_acknowledged.size())
            m_longest = std::max(m_longest, m_now - m_acknowledged[next]);
    }
}

} // namespace pomelowind::tests
