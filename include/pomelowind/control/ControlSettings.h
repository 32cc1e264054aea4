// Settings of pomelowind-control.
#pragma once

#include "pomelowind/base/Settings.h"
#include "pomelowind/operators/Roles.h"

#include <optional>
#include <string>
#include <vector>

namespace pomelowind::control {

// Another control host.
struct MemberAddress {
    std::string id;
    base::Address address;
    bool operator==(const MemberAddress&) const = default;
};

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
    std::vector<MemberAddress> members; // all voters at bootstrap; this host included unless hosts are discovered
    bool discovers { false }; // `members` are seeds; other hosts join, and ids are mesh addresses
    bool firstStart { false }; // with an empty data folder: the whole mesh starts for the first time
    int64_t toleratedLosses { 1 }; // control hosts that may be lost at once
    int64_t keptEntries { 512 }; // log entries kept in memory behind a snapshot
    base::Millis electionTimeout { 400 };
    base::Millis heartbeat { 80 };
    bool claims { true }; // agree on holders of claims for keyed requests
    base::Millis claimLead { 25000 };
    int64_t snapshotEvery { 1000 };
    std::optional<base::Address> sourceAddress; // outside source of templates and accounts
    base::Millis sourcePeriod { 1000 };
    std::string protocol { "product" }; // of the operators' API: product or platform
    double exposureShare { 0.1 }; // part of a service's calls that an unproved version may get, on the platform
    operators::Roles roles;
};

// Throws UserError(Settings) that lists every problem.
ControlSettings readControlSettings(const std::string& file);

} // namespace pomelowind::control
