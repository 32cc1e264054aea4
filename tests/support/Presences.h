// Targets as presence shows them, for tests of what nodes choose.
#pragma once

#include "pomelowind/base/Wire.h"

#include <string>

namespace pomelowind::tests {

constexpr int TARGET_SLOTS = 4;

// A target of service "s", version "v1", that serves.
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
