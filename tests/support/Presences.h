// Presence records of targets, for tests of how nodes choose a target.
#pragma once

#include "pomelowind/base/Wire.h"

#include <string>

namespace pomelowind::tests {

constexpr int TARGET_SLOTS = 4;

// Returns the presence of a serving target of service "s", version "v1".
inline wire::Presence target(const std::string& name, const std::string& dataCentre)
{
    wire::Presence out;
    out.target = name;
    out.serviceName = "s";
    out.version = "v1";
    out.dataCentre = dataCentre;
    out.node = "node-" + name;
    out.incarnation = 1;
    out.state = wire::TargetState::SERVING;
    out.slots = TARGET_SLOTS;
    return out;
}

} // namespace pomelowind::tests
