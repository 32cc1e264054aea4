// Simulates the limits of accounts over all nodes in virtual time: the calls of many accounts at many nodes, the
// messages between nodes, control hosts and the leader, and faults. The decisions are those of the nodes and control
// hosts; other schemes see the same calls.
#pragma once

#include "pomelowind/base/Random.h"
#include "pomelowind/callers/AccountQuota.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace pomelowind::bench {

// How limits are enforced over all nodes.
enum class QuotaScheme {
    Ratios, // as built: counts to the leader, ratios to the nodes
    NodeLimits, // the whole limit at each node alone
    EqualShares, // an equal part of the limit at each node
    DemandShares, // leased parts, reallocated every second by the last demand
    PerfectCounter, // one counter without delay
};

constexpr QuotaScheme QUOTA_SCHEMES[] = { QuotaScheme::Ratios, QuotaScheme::NodeLimits, QuotaScheme::EqualShares,
    QuotaScheme::DemandShares, QuotaScheme::PerfectCounter };
const char* quotaSchemeName(QuotaScheme scheme);

// What happens besides one account at 7.5 times its usual rate.
enum class QuotaEvent { None, MovingCallers, Bursts, NearLimit, LeaderKilled, Partition, Restart, LoweredLimit };

constexpr QuotaEvent QUOTA_EVENTS[]
    = { QuotaEvent::None, QuotaEvent::MovingCallers, QuotaEvent::Bursts, QuotaEvent::NearLimit,
          QuotaEvent::LeaderKilled, QuotaEvent::Partition, QuotaEvent::Restart, QuotaEvent::LoweredLimit };
const char* quotaEventName(QuotaEvent event);

struct QuotaRun {
    int nodes { 77 };
    int accounts { 78 };
    QuotaEvent event { QuotaEvent::None };
    QuotaScheme scheme { QuotaScheme::Ratios };
    double hotLimit { 0 }; // limit of the account with the excessive demand; 0: drawn
    uint64_t seed { 1 };
};

struct QuotaResult {
    double mostOfBound { 0 }; // largest part of the bound that any account used in any window
    std::string worstAccount; // its limit and when
    int64_t offered { 0 };
    int64_t served { 0 };
    int64_t perfectServed { 0 }; // what a perfect counter would have served
    // Calls refused although a perfect counter had refused none of their account in the window before.
    int64_t refusedWithin { 0 };
    int64_t offeredWithin { 0 };
    // Sent and received by a node for the limits: in the first seconds, when all accounts ask for their usual rates,
    // and on average over the whole run.
    double usualBytesPerNodeSecond { 0 };
    double bytesPerNodeSecond { 0 };
};

// Simulates 45 s. The same run gives the same result on every machine.
QuotaResult runQuotaModel(const QuotaRun& run);

} // namespace pomelowind::bench
