// Finds the route of a request: host, then the longest path prefix, then the method.
#pragma once

#include "pomelowind/config/ConfigState.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace pomelowind::node {

// A route with the client account it belongs to; a release's routes belong to none. Points into the table's
// configuration.
struct RouteMatch {
    const wire::Route* route { nullptr };
    const wire::AccountResource* account { nullptr };
    bool methodAllowed { false };
};

// Thread safety: immutable after construction.
class RouteTable {
public:
    RouteTable() = default;
    // Precondition: `config` has no dangling routes.
    explicit RouteTable(std::shared_ptr<const config::ConfigState> config);

    // The route for a request, or one whose `route` is null. `host` may carry a port.
    RouteMatch find(std::string_view host, std::string_view path, std::string_view method) const;
    size_t size() const { return m_size; }

private:
    struct Entry {
        const wire::Route* route;
        const wire::AccountResource* account;
    };

    std::shared_ptr<const config::ConfigState> m_config;
    std::map<std::string, std::vector<Entry>, std::less<>> m_byHost; // longest path first
    size_t m_size { 0 };
};

} // namespace pomelowind::node
