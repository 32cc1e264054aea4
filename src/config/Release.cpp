#include "pomelowind/config/Release.h"

#include "pomelowind/base/Errors.h"
#include "pomelowind/base/Hash.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace pomelowind::config {

namespace {

    using base::ErrorKind;
    using base::UserError;

    // A longer call would outlive any caller and occupy a concurrency slot of the target meanwhile.
    constexpr int32_t LONGEST_TIMEOUT_MS = 10 * 60 * 1000;
    // A latency objective this far beyond the timeout can never be evaluated: the call has timed out long before.
    constexpr int32_t OBJECTIVE_MARGIN_MS = 60 * 1000;

    [[noreturn]] void invalid(const std::string& what, const std::string& remedy)
    {
        throw UserError(ErrorKind::InvalidInput, what, remedy);
    }

    void checkTimes(const wire::Route& route)
    {
        if (route.timeoutMs <= 0)
            invalid("route '" + route.name + "' has no timeout", "give a timeout above 0 ms");
        if (route.timeoutMs > LONGEST_TIMEOUT_MS)
            invalid("route '" + route.name + "' has a timeout over ten minutes", "give at most 600000 ms");
        if (static_cast<int64_t>(route.objectiveMs) - route.timeoutMs >= OBJECTIVE_MARGIN_MS)
            invalid("route '" + route.name + "' has a latency objective far beyond its timeout",
                "give an objective below the timeout");
    }

    void checkBody(const wire::Route& route)
    {
        if (route.largeBody && route.idempotent)
            invalid("route '" + route.name + "' takes large bodies and is idempotent",
                "a large body is not kept for a second run; make the route not idempotent");
    }

    using Names = std::unordered_set<std::string_view>;

    void checkDestination(const wire::Route& route, const Names& services)
    {
        if (route.split.empty()) {
            if (!services.count(route.serviceName))
                invalid("route '" + route.name + "' points at unknown service '" + route.serviceName + "'",
                    "add the service to the release");
            return;
        }
        int64_t sum = 0;
        for (const auto& part : route.split) {
            if (!services.count(part.serviceName))
                invalid("route '" + route.name + "' splits to unknown service '" + part.serviceName + "'",
                    "add the service to the release");
            if (part.weight < 0)
                invalid("route '" + route.name + "' has a negative weight", "give weights of 0 or more");
            sum += part.weight;
        }
        if (sum == 0)
            invalid("the weights of route '" + route.name + "' add up to 0", "give at least one weight above 0");
    }

    wire::ServiceResource serviceOf(const wire::ServiceSpec& spec, const ConfigState& state)
    {
        wire::ServiceResource out;
        if (const auto* present = state.service(spec.name))
            out = *present;
        out.name = spec.name;
        out.healthPath = spec.healthPath;
        out.maxConnections = spec.maxConnections;
        return out;
    }

    // Adds a resource with `content` to `out` unless the state contains the same content at `key`. `field` is the
    // member of wire::Resource for this type of content.
    template <class T, class Set>
    void addIfChanged(std::vector<wire::Resource>& out, const std::string& key, const T& content,
        const ConfigState& state, T wire::Resource::*field, Set set)
    {
        const auto* present = state.find(key);
        if (present && present->*field == content)
            return;
        wire::Resource changed;
        changed.key = key;
        set(changed);
        out.push_back(std::move(changed));
    }

}

std::string routeKey(const std::string& name) { return "route/" + name; }

void checkRelease(const wire::Release& release)
{
    if (release.header.number <= 0)
        invalid("the release has no number", "number releases from 1");
    Names services;
    for (const auto& it : release.services) {
        if (it.name.empty() || !services.insert(it.name).second)
            invalid("service '" + it.name + "' is unnamed or given twice", "name each service once");
    }
    Names names;
    std::unordered_map<std::string_view, Names> places; // path prefixes by host name
    for (const auto& route : release.routes) {
        if (route.name.empty() || !names.insert(route.name).second)
            invalid("route '" + route.name + "' is unnamed or given twice", "name each route once");
        if (route.path.empty() || route.path.front() != '/')
            invalid("the path prefix of route '" + route.name + "' does not begin with a slash", "begin it with '/'");
        if (!places[route.host].insert(route.path).second)
            invalid("route '" + route.name + "' has the host and path prefix of another route",
                "give each route a host and prefix of its own");
        checkTimes(route);
        checkBody(route);
        checkDestination(route, services);
    }
}

ReleaseChange changeOf(const wire::Release& release, const ConfigState& state)
{
    ReleaseChange out;
    std::unordered_set<std::string> kept { RELEASE_KEY };
    addIfChanged(out.set, RELEASE_KEY, release.header, state, &wire::Resource::releaseResource,
        [&](wire::Resource& it) { it.__set_releaseResource(release.header); });
    for (const auto& it : release.services) {
        auto service = serviceOf(it, state);
        auto key = serviceKey(it.name);
        addIfChanged(out.set, key, service, state, &wire::Resource::serviceResource,
            [&](wire::Resource& changed) { changed.__set_serviceResource(service); });
        kept.insert(std::move(key));
    }
    for (const auto& it : release.routes) {
        auto key = routeKey(it.name);
        addIfChanged(
            out.set, key, it, state, &wire::Resource::route, [&](wire::Resource& changed) { changed.__set_route(it); });
        kept.insert(std::move(key));
    }
    state.forEach([&](const wire::Resource& it) {
        bool ofRelease = it.__isset.route || it.__isset.serviceResource;
        if (ofRelease && !kept.count(it.key))
            out.removed.push_back(it.key);
    });
    return out;
}

std::string releaseRequestId(const std::string& document) { return "release/" + base::sha256Hex(document); }

} // namespace pomelowind::config
