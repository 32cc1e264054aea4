#include "DepartureMesh.h"

#include <algorithm>
#include <deque>

namespace pomelowind::tests {

using base::Millis;

namespace {

    constexpr auto STEP = Millis(10);
    constexpr auto NODE_TICK = Millis(50);
    constexpr auto LINK_TIME = Millis(10);
    constexpr char TARGET[] = "i-1";

    base::Address controlAddress(int i) { return { "10.0.0." + std::to_string(i + 1), 7000 }; }

}

class DepartureMesh::Node final : public node::DistributionOutputs {
public:
    Node(ControlGroupSim& group, int index)
        : m_group(group)
        , m_index(index)
    {
        settings.id = "n" + std::to_string(index);
        settings.dataCentre = "east";
        settings.localService = "desk";
        settings.relays = false;
        settings.targetAddress = index ? base::Address { "10.0.9.9", 8080 } : TARGET_ADDRESS;
        settings.meshAdvertised = { "10.0.2." + std::to_string(index + 1), 7000 };
        settings.callAdvertised = { "10.0.2." + std::to_string(index + 1), 7001 };
        for (int i = 0; i < HOSTS; ++i)
            settings.control.push_back({ controlAddress(i).text(), "east", controlAddress(i) });
        restart();
    }

    void restart()
    {
        ++m_starts;
        closeLink();
        local.clear();
        view = nullptr;
        core = std::make_unique<node::DistributionCore>(settings, *this, m_group.now(),
            1700000000000 + m_starts * 100000, static_cast<uint64_t>(m_index * 1000 + m_starts));
    }

    void step(bool ticks)
    {
        auto now = m_group.now();
        if (parent >= 0 && !isConnectable(parent)) {
            int lost = parent;
            closeLink();
            core->parentClosed(controlAddress(lost).text(), now);
        }
        if (m_connectsAt && now >= *m_connectsAt) {
            m_connectsAt.reset();
            if (isConnectable(m_next)) {
                parent = m_next;
                core->parentReady(controlAddress(parent).text(), now);
            }
        }
        while (!m_inbox.empty() && m_inbox.front().arrives <= now) {
            auto frame = std::move(m_inbox.front());
            m_inbox.pop_front();
            core->parentFrame(frame.kind, frame.payload, now);
        }
        if (ticks)
            core->tick(now);
    }

    void receive(int from, links::Kind kind, const std::string& payload)
    {
        if (from == parent)
            m_inbox.push_back({ m_group.now() + LINK_TIME, kind, payload });
    }

    // ---- DistributionOutputs ----
    void connectParent(std::optional<nodes::Parent> next) override
    {
        closeLink();
        if (!next)
            return;
        for (int i = 0; i < HOSTS; ++i)
            m_next = controlAddress(i).text() == next->id ? i : m_next;
        m_connectsAt = m_group.now() + LINK_TIME;
    }
    void sendParent(links::Kind kind, std::string payload) override
    {
        if (parent >= 0 && isConnectable(parent))
            m_group.deliver(parent, settings.id, kind, payload);
    }
    void sendChild(const std::string&, links::Kind, std::string) override { }
    void exchangeDigest(const base::Address&, std::string) override { }
    void publish(node::MeshViewPtr next) override { view = std::move(next); }
    void publishLocalTargets(std::vector<node::Announcement> targets) override { local = std::move(targets); }

    node::NodeSettings settings;
    int parent { -1 }; // control host to which a link is open
    std::optional<int> onlyHost; // that can be reached
    node::MeshViewPtr view;
    std::vector<node::Announcement> local;
    std::unique_ptr<node::DistributionCore> core;

private:
    struct Received {
        base::Instant arrives;
        links::Kind kind;
        std::string payload;
    };

    bool isConnectable(int host) const { return m_group.isRunning(host) && (!onlyHost || *onlyHost == host); }

    void closeLink()
    {
        if (parent >= 0 && m_group.isRunning(parent))
            m_group.disconnect(parent, settings.id);
        parent = -1;
        m_inbox.clear();
        m_connectsAt.reset();
    }

    ControlGroupSim& m_group;
    int m_index;
    int m_starts { 0 };
    int m_next { -1 };
    std::optional<base::Instant> m_connectsAt;
    std::deque<Received> m_inbox;
};

DepartureMesh::DepartureMesh(int nodes, uint64_t seed)
    : m_group(HOSTS, seed)
{
    m_group.setNodeSink([this](int host, const std::string& node, links::Kind kind, const std::string& payload) {
        for (auto& it : m_nodes) {
            if (it->settings.id == node)
                it->receive(host, kind, payload);
        }
    });
    for (int i = 0; i < nodes; ++i)
        m_nodes.push_back(std::make_unique<Node>(m_group, i));
}

DepartureMesh::~DepartureMesh() { m_group.setNodeSink({}); }

void DepartureMesh::advance(Millis time)
{
    for (auto end = m_group.now() + time; m_group.now() < end;) {
        m_group.advance(STEP);
        bool ticks = base::toMillis(m_group.now() - base::Instant()) % NODE_TICK.count() == 0;
        for (auto& it : m_nodes)
            it->step(ticks);
    }
}

void DepartureMesh::restartNode(int i) { m_nodes.at(static_cast<size_t>(i))->restart(); }

void DepartureMesh::restartEverything()
{
    for (int i = 0; i < HOSTS; ++i)
        m_group.stop(i);
    for (auto& it : m_nodes)
        it->restart();
    for (int i = 0; i < HOSTS; ++i)
        m_group.restart(i);
}

void DepartureMesh::stopHost(int i) { m_group.stop(i); }

void DepartureMesh::limitNode(int i, std::optional<int> host) { m_nodes.at(static_cast<size_t>(i))->onlyHost = host; }

bool DepartureMesh::isAdmitted(int i) const { return m_nodes.at(static_cast<size_t>(i))->core->isAdmitted(); }

void DepartureMesh::announce(int64_t born, int64_t sequence, wire::TargetState::type state)
{
    node::Announcement it;
    it.target = TARGET;
    it.serviceName = "desk";
    it.version = "v1";
    it.address = TARGET_ADDRESS;
    it.slots = 6;
    it.incarnation = born;
    it.sequence = sequence;
    it.state = state;
    m_nodes.front()->core->announce(it, m_group.now());
}

void DepartureMesh::depart(int64_t born) { m_nodes.front()->core->depart(TARGET, born, m_group.now()); }

std::shared_ptr<std::optional<bool>> DepartureMesh::askRecorded()
{
    auto out = std::make_shared<std::optional<bool>>();
    m_nodes.front()->core->whenRecorded(
        TARGET, [out](bool recorded) { *out = recorded; }, m_group.now());
    return out;
}

bool DepartureMesh::departAcknowledged(int64_t born)
{
    for (auto end = m_group.now() + Millis(5000); m_group.now() < end;) {
        depart(born);
        auto answer = askRecorded();
        while (!*answer)
            advance(STEP);
        if (**answer)
            return true;
    }
    return false;
}

bool DepartureMesh::isUsed(int64_t born) const
{
    auto isServing = [&](const auto& it, int64_t incarnation) {
        return it.target == TARGET && incarnation == born && it.state == wire::TargetState::SERVING;
    };
    const auto& local = m_nodes.front()->local;
    bool isAdmitted = std::any_of(
        local.begin(), local.end(), [&](const node::Announcement& it) { return isServing(it, it.incarnation); });
    return isAdmitted || std::any_of(m_nodes.begin(), m_nodes.end(), [&](const auto& node) {
        const auto* targets = node->view ? node->view->targets.get() : nullptr;
        return targets && std::any_of(targets->begin(), targets->end(), [&](const wire::Presence& it) {
            return isServing(it, it.targetIncarnation);
        });
    });
}

} // namespace pomelowind::tests
