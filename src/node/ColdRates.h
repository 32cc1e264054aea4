// Reads the limits of cold targets from a configuration.
#pragma once

#include "pomelowind/config/ConfigState.h"
#include "pomelowind/targets/ColdTargets.h"

namespace pomelowind::node {

// Returns the calls per second that cold targets accept, for the services that have a limit. Thread safety: pure.
inline targets::ColdRates coldRates(const config::ConfigState& config)
{
    targets::ColdRates out;
    for (const auto* service : config.services()) {
        if (service->coldCallsPerSecond > 0)
            out[service->name] = service->coldCallsPerSecond;
    }
    return out;
}

} // namespace pomelowind::node
