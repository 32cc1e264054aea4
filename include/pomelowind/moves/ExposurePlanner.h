// Plans a move whose version may only get a bounded part of the service's calls until it is proved: a small share for
// most of the time, then quick steps to the whole shortly before the deadline. A version that turns bad late, or only
// under load, has by then had few calls; a good one still arrives on time.
#pragma once

#include "pomelowind/moves/MovePlanner.h"

namespace pomelowind::moves {

// The event to propose now for a move with an exposure bound, or nothing. Evidence against the version is handled
// before, in planMove. Precondition: move.exposurePermille > 0 and the move is not over. Thread safety: pure.
std::optional<wire::MoveEvent> planBoundedMove(const wire::MoveRecord& move, const MoveView& view);

} // namespace pomelowind::moves
