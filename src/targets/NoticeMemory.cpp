#include "pomelowind/targets/NoticeMemory.h"

namespace pomelowind::targets {

namespace {

    // A target is missing from the lists while the node beside it restarts, and for as long as the mesh is partitioned.
    constexpr auto RETENTION = base::Millis(60000);

}

const TargetNotice* NoticeMemory::find(const wire::Presence& target) const
{
    auto it = m_entries.find(target.target);
    bool isKnown = it != m_entries.end() && it->second.incarnation == target.targetIncarnation;
    return isKnown ? &it->second.notice : nullptr;
}

void NoticeMemory::record(const wire::Presence& target, const TargetNotice& notice, base::Instant now)
{
    const auto* known = find(target);
    TargetNotice next { notice.maxCallsPerSecond, notice.leaving || (known && known->leaving) };
    if (next == TargetNotice())
        m_entries.erase(target.target);
    else
        m_entries[target.target] = { next, target.targetIncarnation, now };
    if (next.leaving)
        m_leaving.insert(target.target);
}

void NoticeMemory::retain(const nodes::TargetList& targets, base::Instant now)
{
    m_leaving.clear();
    for (const auto& it : targets) {
        auto entry = m_entries.find(it.target);
        if (entry == m_entries.end())
            continue;
        entry->second.lastListed = now;
        const auto* notice = find(it);
        if (notice && notice->leaving)
            m_leaving.insert(it.target);
    }
    std::erase_if(m_entries, [now](const auto& it) { return now - it.second.lastListed > RETENTION; });
}

std::optional<double> NoticeMemory::maxCallsPerSecond(const wire::Presence& target) const
{
    const auto* notice = find(target);
    return notice ? notice->maxCallsPerSecond : std::nullopt;
}

} // namespace pomelowind::targets
