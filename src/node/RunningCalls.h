// Which requests run on the targets of this host at the moment, by their ids. A call that names one of them as its
// parent was made by a target while it ran that request.
#pragma once

#include "pomelowind/base/Time.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace pomelowind::node {

// Thread safety: confined to the calls duty.
class RunningCalls {
public:
    // A request begins to run. Requests without an id are not kept, since no call can name them.
    void begin(const std::string& requestId, std::optional<base::Instant> objective);
    // Precondition: begin() was called with the same id and objective.
    void end(const std::string& requestId);
    // The objective of the running request with this id; Instant::max() when it has none, nothing when it does not run.
    std::optional<base::Instant> objectiveOf(const std::string& requestId) const;

private:
    std::unordered_multimap<std::string, base::Instant> m_objectives;
};

} // namespace pomelowind::node
