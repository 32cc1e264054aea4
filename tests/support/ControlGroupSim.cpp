#include "ControlGroupSim.h"

#include <algorithm>

namespace pomelowind::tests {

namespace {

    constexpr int SEED_HOSTS = 3;
    constexpr auto STEP = base::Millis(1);
    constexpr auto TICK_PERIOD = base::Millis(20);
    constexpr auto DISK_TIME = base::Millis(1);
    constexpr auto FULL_DISK_RETRY_PERIOD = base::Millis(100);
    constexpr int64_t START_MS = 1700000000000;

    base::Address addressOf(size_t i) { return { "10.0.0." + std::to_string(i + 1), 7000 }; }

}

class ControlGroupSim::Host final : public control::ControlOutputs {
public:
    Host(ControlGroupSim& sim, size_t index, uint64_t seed)
        : disk(std::make_unique<FullDisk>(seed))
        , m_sim(sim)
        , m_index(index)
    {
        settings.id = addressOf(index).text();
        settings.usesDiscovery = true;
        settings.claims = false;
        settings.snapshotEvery = 48;
        settings.retainedEntries = 16;
        for (size_t i = 0; i < SEED_HOSTS; ++i)
            settings.members.push_back({ addressOf(i).text(), addressOf(i) });
    }

    void sendToMember(const std::string& member, links::Kind kind, std::string payload) override
    {
        for (size_t to = 0; to < m_sim.m_hosts.size(); ++to) {
            if (to != m_index && addressOf(to).text() == member)
                m_sim.send({ m_sim.m_now + STEP, m_index, to, kind, payload });
        }
    }
    void sendToNode(const std::string& node, links::Kind kind, std::string payload) override
    {
        if (m_sim.m_nodeSink)
            m_sim.m_nodeSink(static_cast<int>(m_index), node, kind, payload);
    }
    void connectMember(const std::string&) override { }
    bool persist(control::DiskWork work) override
    {
        if (m_queue.size() >= control::DISK_QUEUE_CAPACITY)
            return false;
        m_queue.push_back(std::move(work));
        return true;
    }

    // Makes the oldest write durable, or tries again later.
    void write()
    {
        if (m_queue.empty() || m_sim.m_now < m_nextWrite)
            return;
        try {
            auto result = control::writeToStore(*store, m_queue.front());
            result.send = std::move(m_queue.front().ready.messagesAfterPersist);
            m_queue.pop_front();
            m_nextWrite = m_sim.m_now + DISK_TIME;
            core->handleDiskResult(std::move(result), m_sim.m_now);
        } catch (const base::UserError& e) {
            if (e.kind() != base::ErrorKind::StorageFull)
                throw;
            m_nextWrite = m_sim.m_now + FULL_DISK_RETRY_PERIOD;
        }
    }

    void forgetWrites() { m_queue.clear(); }

    control::ControlSettings settings;
    std::unique_ptr<FullDisk> disk;
    std::unique_ptr<members::LogStore> store;
    std::unique_ptr<control::ControlCore> core;
    bool hasStarted { false };
    bool isRunning { true };

private:
    ControlGroupSim& m_sim;
    size_t m_index;
    std::deque<control::DiskWork> m_queue;
    base::Instant m_nextWrite;
};

ControlGroupSim::ControlGroupSim(int hosts, uint64_t seed)
    : m_seed(seed)
    , m_random(seed)
{
    for (int i = 0; i < hosts; ++i)
        m_hosts.push_back(std::make_unique<Host>(*this, static_cast<size_t>(i), seed * 100 + static_cast<uint64_t>(i)));
    for (auto& it : m_hosts)
        start(*it);
    for (size_t i = 0; i < m_hosts.size(); ++i)
        connectAll(i);
}

ControlGroupSim::~ControlGroupSim() = default;

FullDisk& ControlGroupSim::disk(int i) { return *host(i).disk; }

control::ControlCore& ControlGroupSim::core(int i) { return *host(i).core; }

template <class Task> void ControlGroupSim::guarded(Task task)
{
    try {
        task();
    } catch (const std::exception& e) {
        if (m_failure.empty())
            m_failure = e.what();
    }
}

void ControlGroupSim::start(Host& host)
{
    auto mode = host.hasStarted ? members::EmptyFolderMode::Recover : members::EmptyFolderMode::Bootstrap;
    host.hasStarted = host.isRunning = true;
    host.forgetWrites();
    host.store = std::make_unique<members::LogStore>(*host.disk);
    wire::Membership membership;
    for (const auto& it : host.settings.members)
        membership.voters.push_back(it.id);
    host.core = std::make_unique<control::ControlCore>(host.settings, host.store->load(mode, membership), host, m_now,
        START_MS + base::toMillis(m_now - m_started), ++m_seed);
}

// Frames are delivered in the order of their arrival; only delayed ones leave that of their sending.
void ControlGroupSim::send(Frame frame)
{
    bool isDelayed = m_forwardDelay > base::Millis(0) && frame.kind == links::FrameKind::FORWARD_REQUEST
        && m_random.bernoulli(0.3);
    if (isDelayed)
        frame.arrives
            += base::Millis(static_cast<int64_t>(m_random.uniformBelow(static_cast<uint64_t>(m_forwardDelay.count()))));
    auto at = std::upper_bound(m_frames.begin(), m_frames.end(), frame.arrives,
        [](base::Instant arrives, const Frame& it) { return arrives < it.arrives; });
    m_frames.insert(at, std::move(frame));
}

void ControlGroupSim::stop(int i) { host(i).isRunning = false; }

bool ControlGroupSim::isRunning(int i) const { return host(i).isRunning; }

void ControlGroupSim::deliver(int i, const std::string& node, links::Kind kind, const std::string& payload)
{
    auto wallMs = START_MS + base::toMillis(m_now - m_started);
    if (host(i).isRunning)
        guarded([&] { host(i).core->handleNodeFrame(node, kind, payload, m_now, wallMs); });
}

void ControlGroupSim::disconnect(int i, const std::string& node)
{
    if (host(i).isRunning)
        guarded([&] { host(i).core->handleNodeDisconnected(node, m_now); });
}

void ControlGroupSim::reconnect()
{
    for (size_t i = 0; i < m_hosts.size(); ++i)
        connectAll(i);
}

void ControlGroupSim::restart(int i)
{
    guarded([&] { start(host(i)); });
    std::erase_if(m_frames, [&](const Frame& it) { return it.to == static_cast<size_t>(i); });
    connectAll(static_cast<size_t>(i));
}

// Each host tells a newly connected one what it knows, and the other way round.
void ControlGroupSim::connectAll(size_t i)
{
    for (size_t other = 0; other < m_hosts.size(); ++other) {
        if (other == i || !m_hosts[other]->isRunning || !m_hosts[i]->isRunning)
            continue;
        guarded([&] { m_hosts[i]->core->handleMemberConnected(addressOf(other).text()); });
        guarded([&] { m_hosts[other]->core->handleMemberConnected(addressOf(i).text()); });
    }
}

void ControlGroupSim::advance(base::Millis time)
{
    for (auto end = m_now + time; m_now < end && m_failure.empty(); m_now += STEP) {
        auto wallMs = START_MS + base::toMillis(m_now - m_started);
        while (!m_frames.empty() && m_frames.front().arrives <= m_now) {
            auto frame = std::move(m_frames.front());
            m_frames.pop_front();
            bool isCut = m_isCut && m_isCut(static_cast<int>(frame.from), static_cast<int>(frame.to));
            if (isCut || !m_hosts[frame.to]->isRunning)
                continue;
            guarded([&] {
                m_hosts[frame.to]->core->handleMemberFrame(
                    addressOf(frame.from).text(), frame.kind, frame.payload, m_now, wallMs);
            });
        }
        for (size_t i = 0; i < m_hosts.size(); ++i) {
            if (!m_hosts[i]->isRunning)
                continue;
            guarded([&] { m_hosts[i]->write(); });
            bool ticks = (base::toMillis(m_now - m_started) + static_cast<int64_t>(i)) % TICK_PERIOD.count() == 0;
            if (ticks)
                guarded([&] { m_hosts[i]->core->tick(m_now, wallMs); });
        }
    }
}

int ControlGroupSim::leader() const
{
    for (size_t i = 0; i < m_hosts.size(); ++i) {
        if (m_hosts[i]->isRunning && m_hosts[i]->core->replica().hasLease(m_now))
            return static_cast<int>(i);
    }
    return -1;
}

void ControlGroupSim::submit(
    int i, wire::Command command, const std::shared_ptr<std::optional<wire::CommandResult>>& result)
{
    guarded([&] {
        host(i).core->submit(
            std::move(command), [result](const wire::CommandResult& it) { *result = it; }, m_now,
            START_MS + base::toMillis(m_now - m_started));
    });
}

void ControlGroupSim::read(int i, const std::shared_ptr<std::optional<bool>>& result)
{
    guarded([&] { host(i).core->readBarrier([result](bool current) { *result = current; }, m_now); });
}

} // namespace pomelowind::tests
