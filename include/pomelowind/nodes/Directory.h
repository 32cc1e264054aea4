// Service discovery: the directory of targets and nodes. It is soft state, distributed by gossip along the fan-out tree
// and by anti-entropy. Of it, only the departures of targets are written to the replicated log, since they bind also
// after a restart of all processes. Entries are ordered by incarnation and sequence number, so reports may arrive out
// of order, more than once and over any path.
#pragma once

#include "pomelowind/base/Time.h"
#include "pomelowind/base/Wire.h"

#include <array>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace pomelowind::nodes {

// A list of targets, for example those of one service version that accept new calls.
using TargetList = std::vector<wire::Presence>;

// Crashes of targets that calls may have caused.
using CrashList = std::vector<wire::TargetCrash>;

// A set of directory entries: those that a merge changed, to be forwarded, or those that differ from another directory.
struct DirectoryEntries {
    std::vector<wire::NodeInfo> nodes;
    std::vector<wire::Presence> targets;
    // Of a merge: those among `targets` whose reporter did not know what the target has said last.
    std::vector<wire::Presence> corrected;
    bool empty() const { return nodes.empty() && targets.empty(); }
};

// Number of a notice that no later announcement of the same incarnation takes back.
inline constexpr int64_t FINAL_NOTICE = std::numeric_limits<int64_t>::max();

// Returns whether `a` holds a later notice of the target than `b`. Both are entries of the same incarnation of it.
// Thread safety: pure.
bool hasLaterNotice(const wire::Presence& a, const wire::Presence& b);

// Holds the newest known entry of each node and target. Thread safety: confined to one event loop thread.
class Directory {
public:
    static constexpr size_t DIGEST_BUCKETS = 32;
    using Buckets = std::array<uint64_t, DIGEST_BUCKETS>;

    // Stores the entries that are newer than the known ones and returns them. The node beside a target decides on its
    // entry, but what an incarnation of a target has said of its departure only grows, whichever process reports it: a
    // restarted node does not know it.
    DirectoryEntries merge(
        const std::vector<wire::NodeInfo>& nodes, const std::vector<wire::Presence>& targets, base::Instant now);
    // Adds what is new about crashes of targets and returns the crashes that have changed. What is known of a crash
    // only grows, so reports of several nodes may arrive in any order. Beyond a fixed number, the oldest crashes are
    // dropped.
    CrashList mergeCrashes(const CrashList& crashes, base::Instant now);
    // Adds departures that are in the replicated log, of targets that the directory knows or not, and returns the
    // entries that have changed.
    DirectoryEntries mergeDepartures(const std::vector<wire::Departure>& departures, base::Instant now);
    // Removes entries that have been gone for longer than `retention`. Until then they act as tombstones, which stale
    // reports do not override.
    void expire(base::Instant now, base::Millis retention);

    // Returns the nodes that are not gone, ordered by name.
    std::vector<wire::NodeInfo> liveNodes() const;
    // Returns the nodes of one data centre that are not gone, ordered by name.
    std::vector<wire::NodeInfo> liveNodes(const std::string& dataCentre) const;
    // Returns all nodes, including tombstones.
    std::vector<wire::NodeInfo> allNodes() const;
    // Returns all targets, including tombstones. Their coldLeftMs refers to `now`, or to the time of their reports if
    // it is not given, so that a copy that is passed on late does not make a target cold again.
    std::vector<wire::Presence> allTargets(base::Instant now = {}) const;
    // Returns the entry of a node, or null when it is unknown. The pointer is valid until the next change.
    const wire::NodeInfo* findNode(const std::string& node) const;
    // Returns the entry of a target, or null when it is unknown. The pointer is valid until the next change.
    const wire::Presence* findTarget(const std::string& target) const;
    // Returns the targets that are not gone and whose node is neither gone nor restarted since they were announced.
    // coldLeftMs as in allTargets().
    TargetList liveTargets(base::Instant now = {}) const;
    // Returns the crashes of the last hour.
    CrashList crashes() const;
    size_t targetCount() const { return m_targets.size(); }
    // Returns the number of nodes that are not gone and, of these, of those with an id below `node`.
    std::pair<size_t, size_t> countLiveNodes(const std::string& node) const;

    // Returns a hash for each bucket of entries, for the anti-entropy comparison of two directories. coldLeftMs, which
    // depends on the time, is left out.
    Buckets digest() const;
    // Returns the entries in buckets whose hash differs from `theirs`, another directory's digest.
    // coldLeftMs as in allTargets().
    DirectoryEntries entriesDifferingFrom(const std::vector<int64_t>& theirs, base::Instant now = {}) const;

private:
    void mergeTarget(const wire::Presence& reported, base::Instant now, DirectoryEntries& change);

    template <class T> struct Record {
        T entry;
        base::Instant changedAt;
        base::Instant reportedAt; // when the entry was reported by the node that decides on it; changedAt may be later
    };
    static wire::Presence agedEntry(const Record<wire::Presence>& record, base::Instant now);

    std::map<std::string, Record<wire::NodeInfo>> m_nodes;
    std::map<std::string, Record<wire::Presence>> m_targets;
    std::map<std::pair<std::string, int64_t>, Record<wire::TargetCrash>> m_crashes; // by target and incarnation
};

} // namespace pomelowind::nodes
