// Settings of pomelowind-node.
#pragma once

#include "pomelowind/base/Settings.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pomelowind::node {

// A control host that may feed this node.
struct ControlAddress {
    std::string id;
    std::string dataCentre;
    base::Address address;
    bool operator==(const ControlAddress&) const = default;
};

struct NodeSettings {
    std::string mesh;
    std::string meshKey;
    std::string id;
    std::string dataCentre;
    base::Address callerAddress; // callers' HTTP
    base::Address meshAddress; // configuration and presence
    base::Address callAddress; // calls between nodes
    base::Address announceAddress; // targets of this host
    base::Address metricsAddress;
    base::Address meshAdvertised; // as peers reach it; the same as meshAddress unless set
    base::Address callAdvertised;
    std::string logLevel;
    std::vector<ControlAddress> control;
    bool discovers { false }; // `control` are seeds; more control hosts are learned from them
    bool relays { true }; // false: control hosts feed every node, as fits fleets of up to some hundred nodes
    std::string protocol { "product" }; // how callers, targets and operators speak: product or platform
    std::optional<base::Address> readyAddress; // answers whether callers may be sent here
    std::optional<base::Address> targetAddress; // the only address that targets may announce
    std::string localService; // service of the target on this host; callers of other services are told it
    std::vector<base::Address> seeds; // mesh addresses of nodes of the same data centre, for a start while cut off
    std::set<std::string> services; // services that callers of this node use; empty means all
    base::Millis targetLease { 3000 };
    base::Millis coldStart { 2000 };
    // Part of its slots that a target gets when it has just started. Less than 100 for targets that must warm up before
    // they can bear their load; 100 for those that are only slower.
    int64_t coldStartPercent { 25 };
    int64_t targetConnections { 120 };
    int64_t maxBodyBytes { 1024 * 1024 };
    // All bodies that the node holds at once. More are refused as not run, so that a burst of large bodies cannot
    // exhaust the memory of the process.
    int64_t bodyMemoryBytes { 64 * 1024 * 1024 };
    double crossingMsPerKilobyte { 0 }; // waiting that callers bear rather than send a kilobyte to another data centre
    base::Millis callerTimeout { 10000 };
    base::Millis drainGrace { 2500 };
    int64_t claimMemoryBytes { 8 * 1024 * 1024 };
    base::Millis stopTimeout { 60000 }; // a planned stop ends then even if calls are still running
    // Retries are paid from tokens per service: `retryShare` for each call, `retryReserve` a second, at most
    // `retryBurst` saved up.
    // Part of the time left that an attempt gets which may be repeated, so that the repeat has the rest.
    int64_t firstAttemptPercent { 60 };
    double retryShare { 0.1 };
    double retryReserve { 5 };
    double retryBurst { 50 };
    // Retries that all nodes together may make at once on one service; each node saves up its part. 0: retryBurst
    // holds.
    double retrySlack { 0 };
    bool limitsEnabled { true }; // false only in benchmarks that show what the limits are for
};

// Throws UserError(Settings) that lists every problem.
NodeSettings readNodeSettings(const std::string& file);

} // namespace pomelowind::node
