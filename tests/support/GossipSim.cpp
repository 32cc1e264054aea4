#include "GossipSim.h"

#include <algorithm>

namespace pomelowind::tests {

using links::FrameKind;

namespace {

    constexpr auto STEP = base::Millis(50);
    constexpr size_t CONTROL_HOSTS = 2;

    std::string controlId(size_t i) { return "c" + std::to_string(i); }

}

GossipSim::GossipSim(int nodes)
    : m_nodes(static_cast<size_t>(nodes))
    , m_controlHosts(CONTROL_HOSTS)
{
    for (size_t i = 0; i < m_nodes.size(); ++i) {
        auto& settings = m_nodes[i].settings;
        settings.id = "n" + std::to_string(i);
        settings.dataCentre = "east";
        settings.localService = "desk";
        settings.relays = false;
        settings.targetLease = base::Millis(10000);
        settings.targetAddress = i ? base::Address { "10.0.1." + std::to_string(i), 8080 } : TARGET_ADDRESS;
        settings.meshAdvertised = { "10.0.2." + std::to_string(i + 1), 7000 };
        settings.callAdvertised = { "10.0.2." + std::to_string(i + 1), 7001 };
        for (size_t c = 0; c < CONTROL_HOSTS; ++c)
            settings.control.push_back({ controlId(c), "east", { "10.0.3." + std::to_string(c + 1), 7000 } });
        startNode(m_nodes[i]);
    }
}

void GossipSim::startNode(Node& node)
{
    node.outputs = {};
    node.parent.clear();
    node.handledParents = node.handledFrames = 0;
    node.core = std::make_unique<node::DistributionCore>(
        node.settings, node.outputs, m_now, START_MS + base::toMillis(m_now - m_started), ++m_seed);
}

void GossipSim::restartNode(int i) { startNode(m_nodes.at(static_cast<size_t>(i))); }

void GossipSim::restartControlHost(int i)
{
    auto id = controlId(static_cast<size_t>(i));
    m_controlHosts.at(static_cast<size_t>(i)) = nodes::Directory();
    m_controlHosts.at(static_cast<size_t>(i)).mergeDepartures(m_log, m_now);
    for (auto& it : m_nodes) {
        if (it.parent != id)
            continue;
        it.parent.clear();
        it.core->parentClosed(id, m_now);
    }
    // The other control host sends what it knows as soon as they are connected.
    for (size_t other = 0; other < m_controlHosts.size(); ++other) {
        wire::Report report;
        report.nodes = m_controlHosts[other].allNodes();
        report.targets = m_controlHosts[other].allTargets();
        if (other != static_cast<size_t>(i))
            m_controlHosts[static_cast<size_t>(i)].merge(report.nodes, report.targets, m_now);
    }
}

void GossipSim::restartEverything()
{
    for (auto& it : m_nodes)
        startNode(it);
    for (auto& it : m_controlHosts) {
        it = nodes::Directory();
        it.mergeDepartures(m_log, m_now);
    }
}

size_t GossipSim::indexOf(const std::string& controlHost) const
{
    size_t i = 0;
    while (controlId(i) != controlHost)
        ++i;
    return i;
}

void GossipSim::merge(size_t controlHost, const wire::Report& report)
{
    auto change = m_controlHosts[controlHost].merge(report.nodes, report.targets, m_now);
    if (change.empty())
        return;
    spread(controlHost, change);
    wire::Report forwarded;
    forwarded.nodes = change.nodes;
    forwarded.targets = change.targets;
    for (size_t other = 0; other < m_controlHosts.size(); ++other) {
        if (other != controlHost)
            merge(other, forwarded);
    }
    record(change.targets);
}

void GossipSim::spread(size_t controlHost, const nodes::DirectoryEntries& change)
{
    wire::Spread out;
    out.nodes = change.nodes;
    out.targets = change.targets;
    for (auto& it : m_nodes) {
        if (it.parent == controlId(controlHost))
            it.core->parentFrame(FrameKind::SPREAD, base::encode(out), m_now);
    }
}

// Appends departures to the log, as the leader does, and marks them in the directories.
void GossipSim::record(const std::vector<wire::Presence>& targets)
{
    std::vector<wire::Departure> added;
    for (const auto& it : targets) {
        if (!it.leaves || it.recorded || !it.noticeSequence)
            continue;
        wire::Departure departure;
        departure.target = it.target;
        departure.incarnation = it.targetIncarnation;
        departure.noticeSequence = it.noticeSequence;
        added.push_back(departure);
    }
    if (added.empty())
        return;
    m_log.insert(m_log.end(), added.begin(), added.end());
    for (size_t host = 0; host < m_controlHosts.size(); ++host) {
        auto change = m_controlHosts[host].mergeDepartures(added, m_now);
        if (!change.empty())
            spread(host, change);
    }
}

void GossipSim::handleFrame(Node& node, const SentFrame& frame)
{
    if (node.parent.empty())
        return;
    auto host = indexOf(node.parent);
    if (frame.kind == FrameKind::REPORT)
        return merge(host, base::decode<wire::Report>(frame.payload));
    auto request = base::decode<wire::Subscribe>(frame.payload);
    wire::SubscribeAnswer answer;
    answer.admitted = answer.fresh = true;
    node.core->parentFrame(FrameKind::SUBSCRIBE_ANSWER, base::encode(answer), m_now);
    wire::Report report;
    report.nodes.push_back(request.node);
    merge(host, report);
    wire::Spread spread;
    spread.nodes = m_controlHosts[host].allNodes();
    spread.targets = m_controlHosts[host].allTargets();
    spread.complete = true;
    node.core->parentFrame(FrameKind::SPREAD, base::encode(spread), m_now);
}

void GossipSim::exchange()
{
    for (bool isIdle = false; !isIdle;) {
        isIdle = true;
        for (auto& it : m_nodes) {
            while (it.handledParents < it.outputs.parents.size()) {
                auto parent = it.outputs.parents[it.handledParents++];
                it.parent = parent ? parent->id : std::string();
                if (parent)
                    it.core->parentReady(parent->id, m_now);
                isIdle = false;
            }
            while (it.handledFrames < it.outputs.sentToParent.size()) {
                auto frame = it.outputs.sentToParent[it.handledFrames++];
                handleFrame(it, frame);
                isIdle = false;
            }
        }
    }
}

void GossipSim::advance(base::Millis time)
{
    for (auto end = m_now + time; m_now < end; m_now += STEP) {
        wire::Spread spread;
        wire::Beacon beacon;
        beacon.term = 1;
        beacon.sequence = ++m_beacons;
        spread.__set_beacon(beacon);
        for (auto& it : m_nodes) {
            it.core->tick(m_now);
            exchange();
            if (!it.parent.empty())
                it.core->parentFrame(FrameKind::SPREAD, base::encode(spread), m_now);
        }
        exchange();
    }
}

bool GossipSim::isUsed(int i, const std::string& target, int64_t incarnation) const
{
    const auto& view = m_nodes.at(static_cast<size_t>(i)).outputs.view;
    return view && std::any_of(view->targets->begin(), view->targets->end(), [&](const wire::Presence& it) {
        return it.target == target && it.targetIncarnation == incarnation && it.state == wire::TargetState::SERVING;
    });
}

bool GossipSim::isAdmitted(const std::string& target, int64_t incarnation) const
{
    const auto& local = m_nodes.front().outputs.local;
    return std::any_of(local.begin(), local.end(), [&](const node::Announcement& it) {
        return it.target == target && it.incarnation == incarnation && it.state == wire::TargetState::SERVING;
    });
}

} // namespace pomelowind::tests
