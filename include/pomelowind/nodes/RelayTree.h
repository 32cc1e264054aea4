// The relay tree of one data centre, computed alike by every node from the same membership.
// Nodes stand in the order of their rendezvous score; the node at place i is fed by the one at (i - 1) / fan-out.
#pragma once

#include "pomelowind/base/Wire.h"

#include <string>
#include <vector>

namespace pomelowind::nodes {

constexpr size_t RELAY_FAN_OUT = 8;

// The nodes that may feed `self`, best first. Empty when `self` is the root and is fed by a control host.
// All of them stand before `self` in the order, whatever the membership that each node sees, so no loop can form.
// Thread safety: pure.
std::vector<wire::NodeInfo> relayParents(const std::string& self, const std::string& dataCentre,
    const std::vector<wire::NodeInfo>& members, size_t fanOut = RELAY_FAN_OUT);

} // namespace pomelowind::nodes
