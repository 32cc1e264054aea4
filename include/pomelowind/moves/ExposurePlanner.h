// Plans a move with an exposure bound: until the candidate version is proven, it may receive only a limited share of
// the service's calls. The candidate gets a small share for most of the move, followed by a fast ramp to full traffic
// shortly before the deadline. A version that turns bad late, or only under load, has received few calls by then, and a
// good version still completes on time. The move planner calls this on the leader for moves that set
// `exposurePermille`.
#pragma once

#include "pomelowind/moves/MovePlanner.h"

namespace pomelowind::moves {

// Returns the event to propose now for a move with an exposure bound, or nothing. Preconditions: move.exposurePermille
// is above 0, the move is not over, and planMove has already handled a verdict against the version. Thread safety:
// pure.
std::optional<wire::MoveEvent> planBoundedMove(const wire::MoveRecord& move, const MovePlannerInput& input);

} // namespace pomelowind::moves
