#include "pomelowind/targets/NoticeMemory.h"

namespace pomelowind::targets {

namespace {

    // A target is missing from the lists while the node beside it restarts, and for as long as the mesh is partitioned.
    constexpr auto RETENTION = base::Millis(60000);

}

void NoticeMemory::record(const std::string& target, const TargetNotice& notice, base::Instant now)
{
    if (notice == TargetNotice())
        m_entries.erase(target);
    else
        m_entries[target] = { notice, now };
}

void NoticeMemory::retain(const nodes::TargetList& targets, base::Instant now)
{
    for (const auto& it : targets) {
        auto entry = m_entries.find(it.target);
        if (entry != m_entries.end())
            entry->second.lastListed = now;
    }
    std::erase_if(m_entries, [now](const auto& it) { return now - it.second.lastListed > RETENTION; });
}

std::optional<double> NoticeMemory::maxCallsPerSecond(const std::string& target) const
{
    auto it = m_entries.find(target);
    return it == m_entries.end() ? std::nullopt : it->second.notice.maxCallsPerSecond;
}

} // namespace pomelowind::targets
