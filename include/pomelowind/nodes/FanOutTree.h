// The configuration fan-out tree of one data centre. Every node computes the same tree from the same membership: nodes
// are ranked by rendezvous score, and the parent of the node with rank i is the one with rank (i - 1) / fan-out. Rank 0
// is the root.
#pragma once

#include "pomelowind/base/Wire.h"

#include <string>
#include <vector>

namespace pomelowind::nodes {

constexpr size_t FAN_OUT = 8;

// Returns the ancestors of `self`, its parent first. Empty when `self` is the root, which subscribes to a control host.
// All ancestors rank before `self`. The order of two nodes is the same in every view of the membership, so nodes with
// different views cannot form a loop. Thread safety: pure.
std::vector<wire::NodeInfo> relayAncestors(const std::string& self, const std::string& dataCentre,
    const std::vector<wire::NodeInfo>& members, size_t fanOut = FAN_OUT);

} // namespace pomelowind::nodes
