// What targets have said about themselves, as remembered by the nodes of callers. It outlives a restart of the node
// beside a target, which loses what it knew while the target goes on. Pure decision logic without I/O.
#pragma once

#include "pomelowind/base/Time.h"
#include "pomelowind/nodes/Directory.h"
#include "pomelowind/targets/TargetNotice.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace pomelowind::targets {

// Thread safety: confined to the calls event loop.
class NoticeMemory {
public:
    // Replaces what is remembered of `target`. One that leaves does so until its next incarnation.
    void record(const wire::Presence& target, const TargetNotice& notice, base::Instant now);
    // Forgets targets that have been absent from the lists for long. To be called with each new list.
    void retain(const nodes::TargetList& targets, base::Instant now);
    // Returns the calls per second that `target` accepts; empty if no limit is known.
    std::optional<double> maxCallsPerSecond(const wire::Presence& target) const;
    // Returns the ids of the listed targets that have said that they leave.
    const std::set<std::string>& leaving() const { return m_leaving; }

private:
    struct Entry {
        TargetNotice notice;
        int64_t incarnation; // of the target
        base::Instant lastListed;
    };
    // Returns what this incarnation of the target has said, or null.
    const TargetNotice* find(const wire::Presence& target) const;

    std::map<std::string, Entry> m_entries; // of targets with a notice
    std::set<std::string> m_leaving;
};

} // namespace pomelowind::targets
