#include "pomelowind/nodes/ConfigPublisher.h"

#include "pomelowind/base/Packing.h"

namespace pomelowind::nodes {

namespace {

    constexpr auto CHILDREN_LIMIT_RETRY = base::Millis(1000);
    // Added to the wait for the next admission token, so that several tokens are available at the retry.
    constexpr auto ADMISSION_RETRY_MARGIN = base::Millis(50);
    // Limit on cached deltas. Each base version needs its own delta, but few different ones are in use at a time.
    constexpr size_t MAX_CACHED_DELTAS = 16;

}

ConfigPublisher::ConfigPublisher(ConfigPublisherOptions options, base::Instant now)
    : m_options(options)
    , m_admissions(options.admissionsPerSecond, options.admissionBurst, now)
    , m_state(std::make_shared<config::ConfigState>())
{
}

Admission ConfigPublisher::subscribe(const wire::NodeInfo& node, int64_t baseVersion, base::Instant now)
{
    auto known = m_children.find(node.node);
    bool isNew = known == m_children.end() || !known->second.isConnected;
    if (isNew && connected().size() >= m_options.maxChildren)
        return { false, CHILDREN_LIMIT_RETRY };
    if (!m_admissions.tryTake(now))
        return { false, m_admissions.timeUntilNextToken(now) + ADMISSION_RETRY_MARGIN };
    Child child;
    child.node = node;
    child.sentVersion = baseVersion;
    m_children[node.node] = child;
    return { true, base::Millis(0) };
}

void ConfigPublisher::disconnected(const std::string& child, base::Instant now)
{
    auto it = m_children.find(child);
    if (it == m_children.end())
        return;
    it->second.isConnected = false;
    it->second.disconnectedAt = now;
}

void ConfigPublisher::resync(const std::string& child)
{
    auto it = m_children.find(child);
    if (it != m_children.end())
        it->second.sentVersion = 0;
}

void ConfigPublisher::publish(std::shared_ptr<const config::ConfigState> state)
{
    if (state->version() <= m_state->version())
        return;
    m_state = std::move(state);
    m_packedDeltas.clear();
}

std::vector<DeltaMessage> ConfigPublisher::takePendingDeltas()
{
    std::vector<DeltaMessage> out;
    for (auto& [name, child] : m_children) {
        if (!child.isConnected || child.sentVersion >= m_state->version())
            continue;
        if (m_packedDeltas.size() >= MAX_CACHED_DELTAS && !m_packedDeltas.count(child.sentVersion))
            m_packedDeltas.clear();
        auto& packedDelta = m_packedDeltas[child.sentVersion];
        if (!packedDelta)
            packedDelta
                = std::make_shared<const std::string>(base::pack(base::encode(m_state->deltaSince(child.sentVersion))));
        out.push_back({ name, packedDelta });
        child.sentVersion = m_state->version();
    }
    return out;
}

std::vector<wire::NodeInfo> ConfigPublisher::takeExpiredSubscribers(base::Instant now)
{
    std::vector<wire::NodeInfo> out;
    for (auto it = m_children.begin(); it != m_children.end();) {
        const auto& child = it->second;
        if (child.isConnected || now - child.disconnectedAt < m_options.childLease) {
            ++it;
            continue;
        }
        out.push_back(child.node);
        it = m_children.erase(it);
    }
    return out;
}

std::vector<std::string> ConfigPublisher::connected() const
{
    std::vector<std::string> out;
    for (const auto& [name, child] : m_children) {
        if (child.isConnected)
            out.push_back(name);
    }
    return out;
}

} // namespace pomelowind::nodes
