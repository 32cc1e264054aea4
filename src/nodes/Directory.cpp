#include "pomelowind/nodes/Directory.h"

#include "pomelowind/base/Hash.h"

#include <algorithm>
#include <tuple>

namespace pomelowind::nodes {

namespace {

    // Longer than a call stays blocked after its last crash.
    constexpr auto CRASH_RETENTION = base::Millis(3600000);
    // With the calls that run at a target, this bounds the memory and the state sent to a new subscriber to some 30 KB.
    constexpr size_t MAX_CRASHES = 256;

    // Adds the values that `set` lacks. Returns whether there were any.
    bool addMissing(std::vector<int64_t>& set, const std::vector<int64_t>& values)
    {
        auto before = set.size();
        for (int64_t it : values) {
            if (std::find(set.begin(), set.end(), it) == set.end())
                set.push_back(it);
        }
        return set.size() > before;
    }

    template <class T> std::tuple<int64_t, int64_t> versionOrder(const T& it)
    {
        return { it.incarnation, it.sequence };
    }

    // A parent reports a lost node as gone with the node's last known sequence number, so at the same number `gone`
    // wins. A node that has reconnected has a higher number.
    bool supersedes(const wire::NodeInfo& next, const wire::NodeInfo& current)
    {
        if (versionOrder(next) == versionOrder(current))
            return next.gone && !current.gone;
        return versionOrder(next) > versionOrder(current);
    }

    bool supersedes(const wire::Presence& next, const wire::Presence& current)
    {
        return versionOrder(next) > versionOrder(current);
    }

    size_t bucketOf(const std::string& key) { return base::hash64(key) % Directory::DIGEST_BUCKETS; }

    // Takes over what `other` knows later about the same incarnation of the target.
    void adoptLaterNotice(wire::Presence& entry, const wire::Presence& other)
    {
        bool isSameTarget = entry.targetIncarnation == other.targetIncarnation;
        if (isSameTarget && hasLaterNotice(other, entry)) {
            entry.noticeSequence = other.noticeSequence;
            entry.leaves = other.leaves;
            entry.recorded = other.recorded;
        } else if (isSameTarget && entry.noticeSequence == other.noticeSequence && entry.leaves == other.leaves) {
            entry.recorded = entry.recorded || other.recorded;
        }
        if (entry.leaves && entry.state != wire::TargetState::GONE)
            entry.state = wire::TargetState::LEAVING;
    }

}

bool hasLaterNotice(const wire::Presence& a, const wire::Presence& b)
{
    // Announcements without numbers have no order but that in which their node took them.
    if (!a.noticeSequence)
        return false;
    return std::tuple(a.noticeSequence, a.leaves) > std::tuple(b.noticeSequence, b.leaves);
}

DirectoryEntries Directory::merge(
    const std::vector<wire::NodeInfo>& nodes, const std::vector<wire::Presence>& targets, base::Instant now)
{
    DirectoryEntries change;
    for (const auto& it : nodes) {
        auto found = m_nodes.find(it.node);
        if (found != m_nodes.end() && !supersedes(it, found->second.entry))
            continue;
        m_nodes[it.node] = { it, now, now };
        change.nodes.push_back(it);
    }
    for (const auto& it : targets)
        mergeTarget(it, now, change);
    return change;
}

// An entry made from a departure is older than each that the node beside the target reports of that incarnation.
DirectoryEntries Directory::mergeDepartures(const std::vector<wire::Departure>& departures, base::Instant now)
{
    std::vector<wire::Presence> entries;
    for (const auto& it : departures) {
        wire::Presence entry;
        entry.target = it.target;
        entry.incarnation = entry.targetIncarnation = it.incarnation;
        entry.noticeSequence = it.noticeSequence;
        entry.leaves = entry.recorded = true;
        entry.state = wire::TargetState::GONE;
        entries.push_back(std::move(entry));
    }
    return merge({}, entries, now);
}

void Directory::mergeTarget(const wire::Presence& reported, base::Instant now, DirectoryEntries& change)
{
    auto found = m_targets.find(reported.target);
    if (found == m_targets.end()) {
        m_targets[reported.target] = { reported, now, now };
        change.targets.push_back(reported);
        return;
    }
    auto& record = found->second;
    bool isNewer = supersedes(reported, record.entry);
    wire::Presence merged = isNewer ? reported : record.entry;
    adoptLaterNotice(merged, isNewer ? record.entry : reported);
    if (merged == record.entry)
        return;
    bool isCorrected = isNewer && merged != reported;
    record = { merged, now, isNewer ? now : record.reportedAt };
    change.targets.push_back(merged);
    if (isCorrected)
        change.corrected.push_back(merged);
}

CrashList Directory::mergeCrashes(const CrashList& crashes, base::Instant now)
{
    CrashList changed;
    for (const auto& it : crashes) {
        auto [found, isNew]
            = m_crashes.try_emplace({ it.target, it.incarnation }, Record<wire::TargetCrash> { {}, now, now });
        auto& entry = found->second.entry;
        entry.target = it.target;
        entry.incarnation = it.incarnation;
        bool hasCalls = addMissing(entry.calls, it.calls);
        bool hasCleared = addMissing(entry.cleared, it.cleared);
        if (isNew || hasCalls || hasCleared)
            changed.push_back(entry);
    }
    while (m_crashes.size() > MAX_CRASHES) {
        m_crashes.erase(std::min_element(m_crashes.begin(), m_crashes.end(),
            [](const auto& a, const auto& b) { return a.second.changedAt < b.second.changedAt; }));
    }
    return changed;
}

CrashList Directory::crashes() const
{
    CrashList out;
    for (const auto& [key, record] : m_crashes)
        out.push_back(record.entry);
    return out;
}

void Directory::expire(base::Instant now, base::Millis retention)
{
    std::erase_if(
        m_nodes, [&](const auto& it) { return it.second.entry.gone && now - it.second.changedAt > retention; });
    std::erase_if(m_crashes, [&](const auto& it) { return now - it.second.changedAt > CRASH_RETENTION; });
    std::erase_if(m_targets, [&](const auto& it) {
        bool orphaned = !m_nodes.count(it.second.entry.node);
        bool gone = it.second.entry.state == wire::TargetState::GONE || orphaned;
        return gone && now - it.second.changedAt > retention;
    });
}

std::vector<wire::NodeInfo> Directory::liveNodes() const
{
    std::vector<wire::NodeInfo> out;
    for (const auto& [name, record] : m_nodes) {
        if (!record.entry.gone)
            out.push_back(record.entry);
    }
    return out;
}

std::pair<size_t, size_t> Directory::countLiveNodes(const std::string& node) const
{
    size_t all = 0;
    size_t below = 0;
    for (const auto& [name, record] : m_nodes) {
        all += record.entry.gone ? 0 : 1;
        below += !record.entry.gone && name < node ? 1 : 0;
    }
    return { all, below };
}

std::vector<wire::NodeInfo> Directory::liveNodes(const std::string& dataCentre) const
{
    auto out = liveNodes();
    std::erase_if(out, [&](const wire::NodeInfo& it) { return it.dataCentre != dataCentre; });
    return out;
}

std::vector<wire::NodeInfo> Directory::allNodes() const
{
    std::vector<wire::NodeInfo> out;
    for (const auto& [name, record] : m_nodes)
        out.push_back(record.entry);
    return out;
}

wire::Presence Directory::agedEntry(const Record<wire::Presence>& record, base::Instant now)
{
    auto out = record.entry;
    if (now > record.reportedAt && out.coldLeftMs > 0) {
        auto age = std::chrono::duration_cast<base::Millis>(now - record.reportedAt).count();
        out.coldLeftMs = static_cast<int32_t>(std::max<int64_t>(0, out.coldLeftMs - age));
    }
    return out;
}

std::vector<wire::Presence> Directory::allTargets(base::Instant now) const
{
    std::vector<wire::Presence> out;
    for (const auto& [name, record] : m_targets)
        out.push_back(agedEntry(record, now));
    return out;
}

const wire::NodeInfo* Directory::findNode(const std::string& node) const
{
    auto it = m_nodes.find(node);
    return it == m_nodes.end() ? nullptr : &it->second.entry;
}

const wire::Presence* Directory::findTarget(const std::string& target) const
{
    auto it = m_targets.find(target);
    return it == m_targets.end() ? nullptr : &it->second.entry;
}

TargetList Directory::liveTargets(base::Instant now) const
{
    TargetList out;
    for (const auto& [name, record] : m_targets) {
        const auto* node = findNode(record.entry.node);
        // A restarted node has lost its list of targets. The targets that are still running announce themselves again.
        bool stale = node && (node->gone || node->incarnation > record.entry.incarnation);
        if (record.entry.state != wire::TargetState::GONE && !stale)
            out.push_back(agedEntry(record, now));
    }
    return out;
}

Directory::Buckets Directory::digest() const
{
    Buckets buckets {};
    for (const auto& [name, record] : m_nodes)
        buckets[bucketOf(name)] ^= base::hash64(base::encode(record.entry));
    for (const auto& [name, record] : m_targets) {
        auto entry = record.entry;
        entry.coldLeftMs = 0;
        buckets[bucketOf(name)] ^= base::hash64(base::encode(entry));
    }
    return buckets;
}

DirectoryEntries Directory::entriesDifferingFrom(const std::vector<int64_t>& theirs, base::Instant now) const
{
    DirectoryEntries out;
    auto ours = digest();
    auto differs = [&](const std::string& key) {
        size_t i = bucketOf(key);
        return i >= theirs.size() || static_cast<uint64_t>(theirs[i]) != ours[i];
    };
    for (const auto& [name, record] : m_nodes) {
        if (differs(name))
            out.nodes.push_back(record.entry);
    }
    for (const auto& [name, record] : m_targets) {
        if (differs(name))
            out.targets.push_back(agedEntry(record, now));
    }
    return out;
}

} // namespace pomelowind::nodes
