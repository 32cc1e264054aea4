// What the distribution duty tells the calls duty: one immutable picture of configuration and presence.
// It is replaced as a whole, so a call sees all of a version or none.
#pragma once

#include "pomelowind/base/Time.h"
#include "pomelowind/config/ConfigState.h"
#include "pomelowind/node/RouteTable.h"
#include "pomelowind/nodes/Directory.h"

#include <memory>

namespace pomelowind::node {

struct MeshView {
    std::shared_ptr<const config::ConfigState> config { std::make_shared<const config::ConfigState>() };
    std::shared_ptr<const RouteTable> routes;
    std::shared_ptr<const nodes::Targets> targets;
    int64_t claimsThroughMs { 0 };
    base::Instant beaconAt; // when the leader was last heard of
    bool serving { false }; // false until a restarted node knows that its version is not older than what it ran
};

using MeshViewPtr = std::shared_ptr<const MeshView>;

} // namespace pomelowind::node
