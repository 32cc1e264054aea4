// Requests that run on the targets of this host at the moment, by id. A call that names one of them as its parent is a
// nested call: a target made it while running that request, and it inherits the request's latency objective.
#pragma once

#include "pomelowind/base/Time.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace pomelowind::node {

// Thread safety: confined to the calls event loop.
class RunningCalls {
public:
    // Adds a request that begins to run. Requests without an id are ignored, since no call can name them.
    void begin(const std::string& requestId, std::optional<base::Instant> objective);
    // Removes one run of a request that has ended. Precondition: begin() was called with the same id, and with the same
    // objective each time.
    void end(const std::string& requestId);
    // Returns the objective of the running request with this id: Instant::max() when it has none, nullopt when no such
    // request runs.
    std::optional<base::Instant> objectiveOf(const std::string& requestId) const;

private:
    std::unordered_multimap<std::string, base::Instant> m_objectives;
};

} // namespace pomelowind::node
