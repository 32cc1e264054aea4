#include "EvacuatedMesh.h"

#include <algorithm>

namespace pomelowind::tests {

using base::Millis;
using wire::CommandKind;

namespace {

    constexpr auto STEP = Millis(10);
    constexpr auto NODE_TICK = Millis(50);
    constexpr auto LINK_TIME = Millis(10);
    constexpr auto EVACUATE_TIME = Millis(5000); // evacuate_ms of the deployments
    constexpr auto CONTACT_WINDOW = Millis(3000); // contact_window_ms
    constexpr auto OPERATOR_PATIENCE = Millis(1000);
    constexpr double LOST_ACKNOWLEDGEMENTS = 0.3;
    constexpr auto LONGEST_FORWARD = Millis(9000);

    std::string name(int dataCentre) { return "dc" + std::to_string(dataCentre); }
    base::Address controlAddress(int i) { return { "10.0.0." + std::to_string(i + 1), 7000 }; }

}

// A node with one target. Its links carry frames in order and drop them while the data centres are partitioned.
class EvacuatedMesh::Node final : public node::DistributionOutputs {
public:
    Node(EvacuatedMesh& mesh, int index)
        : dataCentre(index % DATA_CENTRES)
        , m_mesh(mesh)
        , m_index(index)
    {
        settings.id = "n" + std::to_string(index);
        settings.dataCentre = name(dataCentre);
        settings.relays = false;
        settings.targetAddress = base::Address { "10.0.1." + std::to_string(index + 1), 8080 };
        settings.meshAdvertised = { "10.0.2." + std::to_string(index + 1), 7000 };
        settings.callAdvertised = { "10.0.2." + std::to_string(index + 1), 7001 };
        for (int i = 0; i < DATA_CENTRES; ++i)
            settings.control.push_back({ controlAddress(i).text(), name(i), controlAddress(i) });
        restart();
    }

    void restart()
    {
        ++m_starts;
        auto now = m_mesh.m_group.now();
        if (parent >= 0)
            m_mesh.m_group.disconnect(parent, settings.id);
        parent = -1;
        m_inbox.clear();
        m_connectsAt.reset();
        evacuations = std::make_unique<node::Evacuations>(settings.dataCentre);
        contactSince = now;
        core = std::make_unique<node::DistributionCore>(
            settings, *this, now, 1700000000000 + m_starts * 100000, static_cast<uint64_t>(m_index * 1000 + m_starts));
    }

    void step(bool ticks)
    {
        auto now = m_mesh.m_group.now();
        if (m_connectsAt && now >= *m_connectsAt) {
            m_connectsAt.reset();
            if (isConnectable(m_next)) {
                parent = m_next;
                core->parentReady(controlAddress(parent).text(), now);
            }
        }
        while (!m_inbox.empty() && m_inbox.front().arrives <= now) {
            auto frame = std::move(m_inbox.front());
            m_inbox.erase(m_inbox.begin());
            if (frame.from == parent)
                core->parentFrame(frame.kind, frame.payload, now);
        }
        if (!ticks)
            return;
        node::Announcement announcement;
        announcement.target = "t" + std::to_string(m_index);
        announcement.serviceName = "desk";
        announcement.version = "v1";
        announcement.address = *settings.targetAddress;
        announcement.slots = 4;
        announcement.incarnation = 1;
        announcement.coldLeft = Millis(0);
        core->announce(announcement, now);
        core->tick(now);
    }

    void receive(int from, links::Kind kind, const std::string& payload)
    {
        if (from == parent && isConnectable(from))
            m_inbox.push_back({ m_mesh.m_group.now() + LINK_TIME, from, kind, payload });
    }

    void parentStopped(int host)
    {
        if (parent != host)
            return;
        parent = -1;
        core->parentClosed(controlAddress(host).text(), m_mesh.m_group.now());
    }

    // ---- DistributionOutputs ----
    void connectParent(std::optional<nodes::Parent> next) override
    {
        if (parent >= 0)
            m_mesh.m_group.disconnect(parent, settings.id);
        parent = -1;
        m_inbox.clear();
        m_connectsAt.reset();
        if (!next)
            return;
        for (int i = 0; i < DATA_CENTRES; ++i)
            m_next = controlAddress(i).text() == next->id ? i : m_next;
        m_connectsAt = m_mesh.m_group.now() + LINK_TIME;
    }
    void sendParent(links::Kind kind, std::string payload) override
    {
        if (parent >= 0 && isConnectable(parent))
            m_mesh.m_group.deliver(parent, settings.id, kind, payload);
    }
    void sendChild(const std::string&, links::Kind, std::string) override { }
    void exchangeDigest(const base::Address& peer, std::string payload) override
    {
        for (auto& it : m_mesh.m_nodes) {
            if (it->settings.meshAdvertised == peer && m_mesh.isReachable(dataCentre, it->dataCentre))
                core->digestAnswered(it->core->answerDigest(payload, m_mesh.m_group.now()), m_mesh.m_group.now());
        }
    }
    void publish(node::MeshViewPtr next) override
    {
        evacuations->update(*next);
        view = std::move(next);
    }
    void publishLocalTargets(std::vector<node::Announcement>) override { }

    bool isConnectable(int host) const
    {
        return m_mesh.m_group.isRunning(host) && m_mesh.isReachable(dataCentre, host % DATA_CENTRES);
    }

    node::NodeSettings settings;
    const int dataCentre;
    int parent { -1 }; // control host to which a link is open
    std::unique_ptr<node::Evacuations> evacuations;
    node::MeshViewPtr view;
    std::unique_ptr<node::DistributionCore> core;
    base::Instant contactSince; // start of the contact, with a control host that hears a leader

private:
    struct Received {
        base::Instant arrives;
        int from;
        links::Kind kind;
        std::string payload;
    };

    EvacuatedMesh& m_mesh;
    int m_index;
    int m_starts { 0 };
    int m_next { -1 };
    std::optional<base::Instant> m_connectsAt;
    std::vector<Received> m_inbox;
};

EvacuatedMesh::EvacuatedMesh(int nodes, uint64_t seed)
    : m_group(DATA_CENTRES, seed)
    , m_random(seed)
    , m_orders(DATA_CENTRES)
    , m_startHost(DATA_CENTRES)
{
    m_group.setForwardDelay(LONGEST_FORWARD);
    m_group.setCut([this](int from, int to) { return !isReachable(from % DATA_CENTRES, to % DATA_CENTRES); });
    m_group.setNodeSink([this](int host, const std::string& node, links::Kind kind, const std::string& payload) {
        for (auto& it : m_nodes) {
            if (it->settings.id == node)
                it->receive(host, kind, payload);
        }
    });
    for (int i = 0; i < nodes; ++i)
        m_nodes.push_back(std::make_unique<Node>(*this, i));
    m_nextFailure = m_group.now() + Millis(5000);
    for (auto& it : m_orders)
        it.dueAt = m_group.now() + Millis(3000 + static_cast<int64_t>(m_random.uniformBelow(10000)));
}

EvacuatedMesh::~EvacuatedMesh() { m_group.setNodeSink({}); }

bool EvacuatedMesh::isReachable(int fromDataCentre, int toDataCentre) const
{
    return fromDataCentre == toDataCentre || (!isCutOff(fromDataCentre) && !isCutOff(toDataCentre));
}

void EvacuatedMesh::sendOrder(int dataCentre)
{
    auto& order = m_orders[static_cast<size_t>(dataCentre)];
    wire::Command command;
    command.kind = order.isStart ? CommandKind::START_EVACUATION : CommandKind::FINISH_EVACUATION;
    command.name = name(dataCentre);
    command.baseVersion = config::ANY_BASE_VERSION;
    order.result = std::make_shared<std::optional<wire::CommandResult>>();
    order.sentAt = m_group.now();
    auto host = static_cast<int>(m_random.uniformBelow(DATA_CENTRES));
    if (m_group.isRunning(host))
        m_group.submit(host, command, order.result);
}

// Sends an order again, to any host, until it gets a definite response.
void EvacuatedMesh::operate(int dataCentre)
{
    auto& order = m_orders[static_cast<size_t>(dataCentre)];
    auto now = m_group.now();
    if (order.result && *order.result) {
        auto code = (*order.result)->code;
        bool isDefinite = code == wire::ResultCode::ACCEPTED || code == wire::ResultCode::UNCHANGED;
        if (!isDefinite && code != wire::ResultCode::UNAVAILABLE && code != wire::ResultCode::BUSY)
            m_violation = "an order was answered with " + std::to_string(code) + ": " + (*order.result)->message;
        order.result->reset();
        if (isDefinite && !m_random.bernoulli(LOST_ACKNOWLEDGEMENTS)) {
            order.result.reset();
            order.acknowledgedAt = now;
            ++m_acknowledged;
            order.dueAt = now + Millis(5000 + static_cast<int64_t>(m_random.uniformBelow(12000)));
            return;
        }
    }
    if (!order.result && now >= order.dueAt) {
        order.isStart = !order.isStart;
        order.acknowledgedAt.reset();
        sendOrder(dataCentre);
    } else if (order.result && now - order.sentAt >= OPERATOR_PATIENCE) {
        sendOrder(dataCentre);
    }
}

// Ends a process or partitions a data centre for some seconds, and ends earlier failures.
void EvacuatedMesh::fail()
{
    auto now = m_group.now();
    for (int i = 0; i < DATA_CENTRES; ++i) {
        if (m_group.isRunning(i) || now < m_startHost[static_cast<size_t>(i)])
            continue;
        m_group.restart(i);
    }
    if (m_cutDataCentre >= 0 && now >= m_cutEnds) {
        m_cutDataCentre = -1;
        m_group.reconnect();
    }
    if (now < m_nextFailure)
        return;
    m_nextFailure = now + Millis(500 + static_cast<int64_t>(m_random.uniformBelow(6000)));
    auto duration = Millis(200 + static_cast<int64_t>(m_random.uniformBelow(6000)));
    auto kind = m_random.uniformBelow(10);
    if (kind < 3) {
        int host = m_random.bernoulli(0.6) && m_group.leader() >= 0
            ? m_group.leader()
            : static_cast<int>(m_random.uniformBelow(DATA_CENTRES));
        bool othersRun = true;
        for (int i = 0; i < DATA_CENTRES; ++i)
            othersRun = othersRun && (i == host || m_group.isRunning(i));
        if (!othersRun || !m_group.isRunning(host))
            return;
        m_group.stop(host);
        m_startHost[static_cast<size_t>(host)] = now + duration;
        for (auto& it : m_nodes)
            it->parentStopped(host);
    } else if (kind < 6) {
        m_nodes[m_random.uniformBelow(m_nodes.size())]->restart();
    } else if (m_cutDataCentre < 0) {
        m_cutDataCentre = static_cast<int>(m_random.uniformBelow(DATA_CENTRES));
        m_cutEnds = now + duration;
    }
}

void EvacuatedMesh::check()
{
    auto now = m_group.now();
    if (m_group.leader() < 0)
        m_leaderSince = base::Instant();
    else if (m_leaderSince == base::Instant())
        m_leaderSince = now;
    for (auto& it : m_nodes) {
        bool inContact = m_leaderSince != base::Instant() && !isCutOff(it->dataCentre)
            && isReachable(it->dataCentre, m_group.leader() % DATA_CENTRES);
        if (!inContact)
            it->contactSince = now;
        if (now - it->contactSince < CONTACT_WINDOW || !it->core->isServing())
            continue;
        for (int dc = 0; dc < DATA_CENTRES; ++dc) {
            const auto& order = m_orders[static_cast<size_t>(dc)];
            if (!order.acknowledgedAt || now - *order.acknowledgedAt < EVACUATE_TIME)
                continue;
            ++m_checks;
            bool isExcluded = it->evacuations->dataCentres().count(name(dc)) > 0;
            bool isClosed = it->dataCentre == dc && !it->evacuations->areGatesOpen();
            for (const auto& target : *it->view->targets) {
                if (target.dataCentre == name(dc))
                    isExcluded = isExcluded && it->evacuations->excludedTargets().count(target.target);
            }
            if (isExcluded != order.isStart || (it->dataCentre == dc && isClosed != order.isStart))
                m_violation = it->settings.id + (order.isStart ? " uses " : " avoids ") + name(dc) + " "
                    + std::to_string(base::toMillis(now - *order.acknowledgedAt)) + " ms after the acknowledgement, "
                    + std::to_string(base::toMillis(now - it->contactSince)) + " ms after its contact began";
        }
    }
}

void EvacuatedMesh::step()
{
    auto elapsed = base::toMillis(m_group.now() - base::Instant());
    fail();
    for (int i = 0; i < DATA_CENTRES; ++i)
        operate(i);
    for (size_t i = 0; i < m_nodes.size(); ++i)
        m_nodes[i]->step((elapsed + static_cast<int64_t>(i) * STEP.count()) % NODE_TICK.count() == 0);
    check();
    m_group.advance(STEP);
}

std::string EvacuatedMesh::run(Millis time)
{
    for (auto end = m_group.now() + time; m_group.now() < end && m_violation.empty() && m_group.failure().empty();)
        step();
    return m_violation.empty() ? m_group.failure() : m_violation;
}

} // namespace pomelowind::tests
