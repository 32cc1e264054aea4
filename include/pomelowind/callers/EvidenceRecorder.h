// Counts calls, failures and latencies of services under a move, by route, client account and target.
#pragma once

#include "pomelowind/base/Time.h"
#include "pomelowind/base/Wire.h"

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace pomelowind::callers {

// One finished attempt.
struct CallRecord {
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

// Thread safety: confined to the calls duty.
class EvidenceRecorder {
public:
    void record(const CallRecord& call);
    // The counts since the last call.
    std::vector<wire::EvidenceCell> take();

private:
    using Key = std::tuple<std::string, std::string, int, std::string, std::string>;

    void count(
        const CallRecord& call, wire::EvidenceDimension::type dimension, const std::string& value, bool withLatency);

    std::map<Key, wire::EvidenceCell> m_cells;
};

} // namespace pomelowind::callers
