// Commands of the control plane itself, as against those of operators.
#pragma once

#include "pomelowind/base/Wire.h"

namespace pomelowind::control {

// Returns a command without a request id: the step of a move, the number of an epoch or the content of the command
// makes it idempotent. `wallMs` is the leader's time of day. Thread safety: pure.
inline wire::Command systemCommand(wire::CommandKind::type kind, int64_t wallMs)
{
    wire::Command command;
    command.kind = kind;
    command.actor = "system";
    command.timeMs = wallMs;
    return command;
}

} // namespace pomelowind::control
