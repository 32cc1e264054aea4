// Sums usage of client accounts on its way to the leader: in nodes that relay reports, and in control hosts.
#pragma once

#include "pomelowind/base/Wire.h"

#include <map>
#include <utility>
#include <vector>

namespace pomelowind::callers {

// Calls of one account within a time.
struct AccountUse {
    int64_t account { 0 }; // quotaId() of its name
    int32_t offered { 0 };
    int32_t refused { 0 }; // of the offered calls; these have not run
    int32_t span { 2 }; // tenths of a second within which they were offered
};

// Return the message for a list, and the list of a message. Entries of a malformed message are dropped.
wire::AccountUsage packUsage(const std::vector<AccountUse>& usage);
std::vector<AccountUse> unpackUsage(const wire::AccountUsage& usage);

// Thread safety: confined to one event loop thread.
class UsageBatch {
public:
    // Adds usage. Entries of one account with about the same span become one. Ignores further accounts when the batch
    // has MAX_ENTRIES.
    void add(const std::vector<AccountUse>& usage);
    bool empty() const { return m_entries.empty(); }
    // Returns the sums and empties the batch.
    std::vector<AccountUse> take();
    void clear() { m_entries.clear(); }

    // More accounts than a platform has. Bounds the memory while there is no leader to send it to.
    static constexpr size_t MAX_ENTRIES = 20000;

private:
    std::map<std::pair<int64_t, int32_t>, AccountUse> m_entries; // by account and span
};

} // namespace pomelowind::callers
