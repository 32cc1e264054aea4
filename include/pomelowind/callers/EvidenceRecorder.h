// Counts calls, failures and latencies of services under a move (a progressive change of version), by route, client
// account and target. The node records the attempts that reached a target, and reports the counts to the control plane.
#pragma once

#include "pomelowind/base/Time.h"
#include "pomelowind/base/Wire.h"

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace pomelowind::callers {

// Result of one attempt that reached a target.
struct AttemptRecord {
    std::string serviceName;
    std::string version;
    std::string route;
    std::string account;
    std::string target;
    std::string dataCentre; // of the target
    bool failed { false };
    base::Micros latency { 0 };
    bool countLatency { true }; // false during a target's cold start
};

// Thread safety: confined to the calls event loop.
class EvidenceRecorder {
public:
    void record(const AttemptRecord& attempt);
    // Returns the counts since the last call of this function, and resets them.
    std::vector<wire::EvidenceCell> takeCounts();

private:
    using Key = std::tuple<std::string, std::string, int, std::string, std::string>;

    void count(const AttemptRecord& attempt, wire::EvidenceDimension::type dimension, const std::string& value,
        bool withLatency);

    std::map<Key, wire::EvidenceCell> m_cells;
};

} // namespace pomelowind::callers
