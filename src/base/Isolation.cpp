#include "pomelowind/base/Isolation.h"

#include "pomelowind/base/Errors.h"
#include "pomelowind/base/Log.h"

#include <new>

namespace pomelowind::base {

bool runIsolated(std::string_view place, const std::function<void()>& task)
{
    try {
        task();
        return true;
    } catch (const InternalFault&) {
        throw;
    } catch (const std::bad_alloc&) {
        throw;
    } catch (const std::exception& e) {
        logRateLimited("input.failed", { { "place", place }, { "error", e.what() } });
        return false;
    }
}

} // namespace pomelowind::base
