// Settings of pomelowind-control, read from its settings file at start and on reload.
#pragma once

#include "pomelowind/base/Settings.h"
#include "pomelowind/callers/QuotaBounds.h"
#include "pomelowind/operators/Roles.h"

#include <optional>
#include <string>
#include <vector>

namespace pomelowind::control {

// Id and mesh address of a control host.
struct MemberAddress {
    std::string id;
    base::Address address;
    bool operator==(const MemberAddress&) const = default;
};

// Holds the validated settings of one control host.
struct ControlSettings {
    std::string mesh;
    std::string meshKey;
    std::string id;
    std::string dataCentre;
    base::Address meshAddress;
    base::Address operatorAddress;
    base::Address metricsAddress;
    std::string dataFolder;
    std::string logLevel;
    std::vector<MemberAddress> members; // the voters at bootstrap; without discovery, this host must be among them
    bool usesDiscovery { false }; // `members` are seeds, further hosts may join, and a host's id is its mesh address
    bool firstStart { false }; // an empty data folder means the first start of the mesh, not a lost disk
    int64_t toleratedLosses { 1 }; // control hosts that may fail at the same time; determines the number of voters
    int64_t retainedEntries { 512 }; // log entries before the latest snapshot that stay in memory for slow followers
    base::Millis electionTimeout { 400 };
    base::Millis heartbeatInterval { 80 };
    bool claims { true }; // propose claim epochs: which nodes store the records of requests with an idempotency key
    base::Millis claimLead { 25000 }; // from the proposal of a claim epoch to its start
    int64_t snapshotEvery { 1000 }; // log entries applied between two snapshots, at most
    std::optional<base::Address> sourceAddress; // HTTP source that is polled for templates and accounts
    base::Millis sourcePeriod { 1000 }; // between two polls of the source
    std::string protocol { "product" }; // the operators' API that is served: product or platform
    // Data centres that can be evacuated; empty: those of the nodes and targets in the directory.
    std::vector<std::string> dataCentres;
    double exposureShare { 0.1 }; // maximum share of a service's calls for an unproven version; platform API only
    callers::QuotaBounds quota; // bound on the calls of each client account over all nodes
    operators::Roles roles;
};

// Reads and validates the settings file. Throws UserError(Settings) that lists every problem of the file at once.
ControlSettings readControlSettings(const std::string& file);

} // namespace pomelowind::control
