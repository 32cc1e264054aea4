#include "pomelowind/node/RouteTable.h"

#include <algorithm>

namespace pomelowind::node {

namespace {

    std::string_view withoutPort(std::string_view host) { return host.substr(0, host.find(':')); }

    std::string_view withoutQuery(std::string_view path) { return path.substr(0, path.find('?')); }

    // Matches whole path segments: "/lookup" matches "/lookup" and "/lookup/7" but not "/lookups".
    bool matchesPrefix(std::string_view prefix, std::string_view path)
    {
        if (path.compare(0, prefix.size(), prefix) != 0)
            return false;
        return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/';
    }

    // A route without a list of methods allows all methods.
    bool allowsMethod(const wire::Route& route, std::string_view method)
    {
        if (route.methods.empty())
            return true;
        return std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
    }

}

RouteTable::RouteTable(std::shared_ptr<const config::ConfigState> config)
    : m_config(std::move(config))
{
    for (const auto* account : m_config->accounts()) {
        for (const auto& route : account->routes) {
            m_byHost[route.host].push_back({ &route, account });
            ++m_size;
        }
    }
    for (const auto* route : m_config->routes()) {
        m_byHost[route->host].push_back({ route, nullptr });
        ++m_size;
    }
    for (auto& [host, entries] : m_byHost) {
        for (const auto& it : entries)
            m_longestTimeout = std::max(m_longestTimeout, base::Millis(it.route->timeoutMs));
        std::stable_sort(entries.begin(), entries.end(),
            [](const Entry& a, const Entry& b) { return a.route->path.size() > b.route->path.size(); });
    }
}

RouteMatch RouteTable::find(std::string_view host, std::string_view path, std::string_view method) const
{
    RouteMatch out;
    auto it = m_byHost.find(withoutPort(host));
    if (it == m_byHost.end())
        return out;
    for (const auto& entry : it->second) {
        if (!matchesPrefix(entry.route->path, withoutQuery(path)))
            continue;
        if (allowsMethod(*entry.route, method))
            return { entry.route, entry.account, true };
        if (!out.route)
            out = { entry.route, entry.account, false };
    }
    return out;
}

} // namespace pomelowind::node
