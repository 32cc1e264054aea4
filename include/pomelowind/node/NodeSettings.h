// Settings of pomelowind-node, read once at start and on reload.
#pragma once

#include "pomelowind/base/Settings.h"
#include "pomelowind/callers/QuotaBounds.h"
#include "pomelowind/nodes/FreshnessProof.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pomelowind::node {

// A control host that may publish configuration to this node.
struct ControlAddress {
    std::string id;
    std::string dataCentre;
    base::Address address;
    bool operator==(const ControlAddress&) const = default;
};

// Holds the settings of one node. The names in the settings file are listed in readNodeSettings().
struct NodeSettings {
    std::string mesh;
    std::string meshKey;
    std::string id;
    std::string dataCentre;
    base::Address callerAddress; // HTTP server for callers
    base::Address meshAddress; // configuration and presence, between nodes and control hosts
    base::Address callAddress; // calls and claims between nodes
    base::Address announceAddress; // HTTP server to which targets of this host announce themselves
    base::Address metricsAddress;
    base::Address meshAdvertised; // address at which peers reach meshAddress; the same unless set
    base::Address callAdvertised; // address at which peers reach callAddress; the same unless set
    std::string logLevel;
    std::vector<ControlAddress> control;
    bool usesDiscovery { false }; // `control` holds seeds; the node learns of more control hosts from them
    // Nodes relay configuration to other nodes. False: control hosts publish to every node directly, which suits fleets
    // of up to some hundred nodes.
    bool relays { true };
    std::string protocol { "product" }; // of callers, targets and operators: product or platform
    std::optional<base::Address> readyAddress; // readiness endpoint: whether callers may be sent to this node
    std::optional<base::Address> targetAddress; // the only address that targets of this host may announce
    std::string localService; // service of the targets on this host; sent as the caller's service with its calls
    std::vector<base::Address> seeds; // mesh addresses of nodes of the same data centre, for a start while partitioned
    std::set<std::string> services; // services that callers of this node use; empty means all
    base::Millis targetLease { 3000 }; // a target that does not announce itself again within it is considered gone
    base::Millis coldStart { 2000 }; // ramp-up time of a started target that does not announce its own
    // Percentage of its concurrency slots that a target gets when it has just started. Less than 100 for targets that
    // cannot carry their full load before they have warmed up; 100 for those that are only slower at first.
    int64_t coldStartPercent { 25 };
    int64_t targetConnections { 120 }; // maximum open connections to one target
    int64_t maxBodyBytes { 1024 * 1024 };
    // Limit for all bytes that the node holds for callers at once. Calls beyond it are refused as not run, so that
    // neither a burst of large bodies nor callers that read slowly can exhaust the memory of the process.
    int64_t bodyMemoryBytes { 64 * 1024 * 1024 };
    // Queueing time, in milliseconds, that is preferred to sending one kilobyte to another data centre.
    double crossingMsPerKilobyte { 0 };
    // For receiving one whole request, and for a caller to take some of its answer.
    base::Millis callerTimeout { 10000 };
    int64_t slowCallerBytesPerSecond { 16 * 1024 }; // see http::HttpLimits
    int64_t pipelineDepth { 64 }; // unanswered requests of one connection at which no further one is read
    int64_t pipelineBytes { 1024 * 1024 }; // the same in bytes of the requests and of responses that wait
    base::Millis drainGrace { 2500 }; // time for callers to move to other nodes before a planned stop
    int64_t claimMemoryBytes { 8 * 1024 * 1024 };
    // A planned stop ends after it even if calls are still running. Follows from kill_after_s unless it is set itself.
    base::Millis stopTimeout { 60000 };
    // Percentage of the remaining time that a repeatable attempt may use, so that the retry has the rest.
    int64_t firstAttemptPercent { 60 };
    // The retry budget of a service is a token bucket: each call adds `retryShare` tokens and each second
    // `retryReserve`, up to `retryBurst`.
    double retryShare { 0.1 };
    double retryReserve { 5 };
    double retryBurst { 50 };
    // Burst of retries that all nodes together may make to one service; each node's bucket holds its part of it. 0:
    // retryBurst applies to each node.
    double retrySlack { 0 };
    callers::QuotaBounds quota; // bound on the calls of each client account over all nodes
    nodes::LeaseBounds lease; // within which keys of client accounts are honoured
    bool limitsEnabled { true }; // false only in benchmarks that measure the effect of the limits
};

// Reads and checks the settings in `file`. Throws UserError(Settings) that lists every problem.
NodeSettings readNodeSettings(const std::string& file);

} // namespace pomelowind::node
