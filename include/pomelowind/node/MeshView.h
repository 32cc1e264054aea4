// Immutable snapshot of the configuration and of target presence. The distribution event loop publishes it to the calls
// event loop, which replaces its snapshot as a whole, so that a call sees all of a configuration version or none of it.
#pragma once

#include "pomelowind/base/Time.h"
#include "pomelowind/callers/AccountKeys.h"
#include "pomelowind/config/ConfigState.h"
#include "pomelowind/node/RouteTable.h"
#include "pomelowind/nodes/Directory.h"

#include <memory>
#include <optional>
#include <vector>

namespace pomelowind::node {

// Holds what the call path needs to route a call.
struct MeshView {
    std::shared_ptr<const config::ConfigState> config { std::make_shared<const config::ConfigState>() };
    std::shared_ptr<const RouteTable> routes;
    // Client accounts by key; null: none.
    std::shared_ptr<const callers::AccountKeys> accountKeys;
    // Calls that arrive later are not served on the strength of a key of this configuration, which may then be
    // outdated. Unset: no leases are asked for.
    std::optional<base::Instant> keysHonouredUntil;
    std::shared_ptr<const nodes::TargetList> targets;
    base::Instant targetsAt; // time to which coldLeftMs of the targets refers
    // Crashes of targets; null: none.
    std::shared_ptr<const nodes::CrashList> crashes;
    int64_t claimsThroughMs { 0 }; // wall time until which the leader has promised not to start another claim epoch
    base::Instant beaconAt; // when the last heartbeat of the leader (beacon) was received
    // Accounts near or beyond their limit; null: none.
    std::shared_ptr<const std::vector<wire::AccountRatio>> accountRatios;
    // Nodes that share the limits of client accounts, and the place of this node among them, from 0. Set only when
    // there are client accounts.
    size_t nodes { 1 };
    size_t place { 0 };
    // False until a restarted node knows that its version is not older than the one it ran before the restart.
    bool serving { false };
};

using MeshViewPtr = std::shared_ptr<const MeshView>;

} // namespace pomelowind::node
