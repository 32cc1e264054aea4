// Keeps a failure in one input from ending the process: an event loop handles each request, frame or queued item from
// outside in isolation. A violated invariant still ends the process.
#pragma once

#include <functional>
#include <string_view>

namespace pomelowind::base {

// Runs `task`. Returns false, after logging event=input.failed, when it throws because of its input. Lets InternalFault
// and std::bad_alloc pass, after which the process cannot continue safely. `place` names the boundary in the log.
// Thread safety: any thread.
bool runIsolated(std::string_view place, const std::function<void()>& task);

} // namespace pomelowind::base
