// Presence: which targets and nodes there are. Soft state that never goes through the log. Entries are ordered by
// incarnation and sequence, so reports may cross, repeat and take any way.
#pragma once

#include "pomelowind/base/Time.h"
#include "pomelowind/base/Wire.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace pomelowind::nodes {

// The targets of one service version that can take new work, as an immutable list.
using Targets = std::vector<wire::Presence>;

// Entries of the directory that a merge changed and that others should hear of.
struct DirectoryChange {
    std::vector<wire::NodeInfo> nodes;
    std::vector<wire::Presence> targets;
    bool empty() const { return nodes.empty() && targets.empty(); }
};

// Thread safety: confined to one duty.
class Directory {
public:
    static constexpr size_t DIGEST_BUCKETS = 32;
    using Buckets = std::array<uint64_t, DIGEST_BUCKETS>;

    // Takes entries that are newer than the known ones and returns them.
    DirectoryChange merge(
        const std::vector<wire::NodeInfo>& nodes, const std::vector<wire::Presence>& targets, base::Instant now);
    // Forgets entries that have been gone for `retention`; until then they outrank late reports.
    void expire(base::Instant now, base::Millis retention);

    // Live nodes, by name.
    std::vector<wire::NodeInfo> liveNodes() const;
    std::vector<wire::NodeInfo> liveNodes(const std::string& dataCentre) const;
    std::vector<wire::NodeInfo> allNodes() const;
    std::vector<wire::Presence> allTargets() const;
    const wire::NodeInfo* findNode(const std::string& node) const;
    // Targets that have not gone and whose node has not gone.
    Targets liveTargets() const;
    size_t targetCount() const { return m_targets.size(); }

    // Hashes of the entries by bucket, for comparing two directories cheaply.
    Buckets digest() const;
    // Entries in buckets whose hash differs from `theirs`.
    DirectoryChange differing(const std::vector<int64_t>& theirs) const;

private:
    template <class T> struct Slot {
        T entry;
        base::Instant changed;
    };

    std::map<std::string, Slot<wire::NodeInfo>> m_nodes;
    std::map<std::string, Slot<wire::Presence>> m_targets;
};

} // namespace pomelowind::nodes
