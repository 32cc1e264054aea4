// Finds the route of a request by host, then longest path prefix, then method. Built once per configuration version and
// used when a call is admitted.
#pragma once

#include "pomelowind/base/Time.h"
#include "pomelowind/config/ConfigState.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace pomelowind::node {

// A route with the client account it belongs to; routes of a release belong to no account. The pointers refer to the
// table's configuration and are valid as long as it is.
struct RouteMatch {
    const wire::Route* route { nullptr };
    const wire::AccountResource* account { nullptr };
    bool methodAllowed { false }; // false: `route` matches the path but does not allow the method
};

// Index of all routes of a configuration. Thread safety: immutable after construction.
class RouteTable {
public:
    RouteTable() = default;
    // Precondition: `config` has no dangling routes.
    explicit RouteTable(std::shared_ptr<const config::ConfigState> config);

    // Returns the route for a request; its `route` is null when there is none. `host` may include a port.
    RouteMatch find(std::string_view host, std::string_view path, std::string_view method) const;
    size_t size() const { return m_size; }
    // Returns the longest timeout of a route.
    base::Millis longestTimeout() const { return m_longestTimeout; }

private:
    struct Entry {
        const wire::Route* route;
        const wire::AccountResource* account;
    };

    std::shared_ptr<const config::ConfigState> m_config;
    std::map<std::string, std::vector<Entry>, std::less<>> m_byHost; // longest path first
    size_t m_size { 0 };
    base::Millis m_longestTimeout { 0 };
};

} // namespace pomelowind::node
