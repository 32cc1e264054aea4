// Requests that run on the targets of this host at the moment, by id. A call that names one of them as its parent is a
// nested call: a target made it while running that request, and it inherits the request's latency objective and the
// priority of its client account.
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
    // `priority` is the one that the gate knows.
    void begin(const std::string& requestId, std::optional<base::Instant> objective, int priority = 0);
    // Removes one run of a request that has ended. Precondition: begin() was called with the same id, and with the same
    // objective each time.
    void end(const std::string& requestId);
    // Remembers until `deadline` that a target may still run a request whose exchange was cancelled.
    void abandon(const std::string& requestId, base::Instant deadline);
    // Returns whether a request that was abandoned may still run.
    bool mayStillRun(const std::string& requestId, base::Instant now) const;
    // Returns the objective of the running request with this id: Instant::max() when it has none, nullopt when no such
    // request runs.
    std::optional<base::Instant> objectiveOf(const std::string& requestId) const;
    // Returns the priority of the running request with this id, or nullopt when no such request runs.
    std::optional<int> priorityOf(const std::string& requestId) const;

private:
    struct Running {
        base::Instant objective;
        int priority { 0 };
    };
    std::unordered_multimap<std::string, Running> m_running;
    std::unordered_map<std::string, base::Instant> m_abandoned; // id -> deadline
};

} // namespace pomelowind::node
