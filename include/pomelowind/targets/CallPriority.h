// Combines the priority of a client account and that of a route into the one priority that gates know: calls run by
// account, then by route.
#pragma once

#include <algorithm>

namespace pomelowind::targets {

inline constexpr int MAX_ROUTE_PRIORITY = 9; // of routes and client accounts; 0 is shed first
inline constexpr int MAX_CALL_PRIORITY = (MAX_ROUTE_PRIORITY + 1) * (MAX_ROUTE_PRIORITY + 1) - 1;

// Returns a priority of 0 to MAX_CALL_PRIORITY. Thread safety: pure.
inline int combinePriorities(int account, int route)
{
    return std::clamp(account, 0, MAX_ROUTE_PRIORITY) * (MAX_ROUTE_PRIORITY + 1)
        + std::clamp(route, 0, MAX_ROUTE_PRIORITY);
}

// Returns the account's part of a combined priority. Thread safety: pure.
inline int accountPriorityOf(int combined) { return combined / (MAX_ROUTE_PRIORITY + 1); }

} // namespace pomelowind::targets
