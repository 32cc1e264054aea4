// Decides whether an order to start or finish the evacuation of a data centre names one that exists. Pure decision
// logic without I/O.
#pragma once

#include "pomelowind/base/Wire.h"
#include "pomelowind/nodes/Directory.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pomelowind::control {

// What the leader knows when it receives an order.
struct EvacuationCheck {
    std::string dataCentre; // that of the order
    std::vector<std::string> settings; // data centres in the settings
    std::set<std::string> directory; // data centres of known nodes and targets; used when the settings name none
    std::set<std::string> evacuated;
    // The host leads, knows all that has been accepted, and has been up long enough to know the directory.
    bool isCertain { false };
};

// Returns the refusal of an order for an unknown data centre, or nothing for an order that may be proposed. An
// evacuation that is in force can be finished even if its data centre is no longer known. Malformed names are left to
// ConfigMachine. Thread safety: pure.
std::optional<wire::CommandResult> refusalOf(const EvacuationCheck& check);

// Returns the data centres of all nodes and targets in the directory, also of those that are gone.
std::set<std::string> dataCentresOf(const nodes::Directory& directory);

} // namespace pomelowind::control
