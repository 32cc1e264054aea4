#include "pomelowind/callers/UsageBatch.h"

#include <algorithm>

namespace pomelowind::callers {

namespace {

    constexpr int32_t USUAL_SPAN = 2;
    constexpr int32_t MAX_SPAN = 100;
    // A node sees fewer calls between two reports, and the sums of a batch are far below the limits of their type.
    constexpr int32_t MAX_CALLS = 1000000;

}

wire::AccountUsage packUsage(const std::vector<AccountUse>& usage)
{
    wire::AccountUsage out;
    for (const auto& it : usage) {
        out.accounts.push_back(it.account);
        out.offered.push_back(it.offered);
        out.refused.push_back(it.refused);
        out.spans.push_back(it.span);
        out.__isset.refused = out.__isset.refused || it.refused;
        out.__isset.spans = out.__isset.spans || it.span > USUAL_SPAN;
    }
    return out;
}

std::vector<AccountUse> unpackUsage(const wire::AccountUsage& usage)
{
    std::vector<AccountUse> out;
    for (size_t i = 0; i < std::min(usage.accounts.size(), usage.offered.size()); ++i) {
        AccountUse use;
        use.account = usage.accounts[i];
        use.offered = std::clamp(usage.offered[i], 0, MAX_CALLS);
        use.refused = i < usage.refused.size() ? std::clamp(usage.refused[i], 0, MAX_CALLS) : 0;
        use.span = i < usage.spans.size() ? std::clamp(usage.spans[i], 1, MAX_SPAN) : USUAL_SPAN;
        out.push_back(use);
    }
    return out;
}

void UsageBatch::add(const std::vector<AccountUse>& usage)
{
    for (const auto& it : usage) {
        auto key = std::pair(it.account, std::max(it.span, USUAL_SPAN));
        if (m_entries.size() >= MAX_ENTRIES && !m_entries.count(key))
            continue;
        auto& entry = m_entries[key];
        entry.account = it.account;
        entry.offered = std::min(entry.offered + it.offered, MAX_CALLS);
        entry.refused = std::min(entry.refused + it.refused, MAX_CALLS);
        entry.span = key.second;
    }
}

std::vector<AccountUse> UsageBatch::take()
{
    std::vector<AccountUse> out;
    out.reserve(m_entries.size());
    for (const auto& [key, entry] : m_entries)
        out.push_back(entry);
    m_entries.clear();
    return out;
}

} // namespace pomelowind::callers
