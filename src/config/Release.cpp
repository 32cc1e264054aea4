#include "pomelowind/config/Release.h"

#include "pomelowind/base/Errors.h"
#include "pomelowind/base/Hash.h"

#include <algorithm>
#include <set>

namespace pomelowind::config {

namespace {

    using base::ErrorKind;
    using base::UserError;

    // Longer waits would outlive any caller and hold a target's slot meanwhile.
    constexpr int32_t LONGEST_TIMEOUT_MS = 10 * 60 * 1000;
    // An objective this far beyond the timeout can never be judged: the request has ended long before.
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

    void checkDestination(const wire::Route& route, const std::set<std::string>& services)
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

    wire::Resource resourceOf(const wire::Route& route)
    {
        wire::Resource out;
        out.key = routeKey(route.name);
        out.__set_route(route);
        return out;
    }

    wire::Resource resourceOf(const wire::ServiceResource& service)
    {
        wire::Resource out;
        out.key = serviceKey(service.name);
        out.__set_serviceResource(service);
        return out;
    }

    bool isChanged(const wire::Resource& next, const ConfigState& state)
    {
        const auto* present = state.find(next.key);
        if (!present)
            return true;
        wire::Resource same = next;
        same.version = present->version;
        return !(same == *present);
    }

}

std::string routeKey(const std::string& name) { return "route/" + name; }

void checkRelease(const wire::Release& release)
{
    if (release.header.number <= 0)
        invalid("the release has no number", "number releases from 1");
    std::set<std::string> services;
    for (const auto& it : release.services) {
        if (it.name.empty() || !services.insert(it.name).second)
            invalid("service '" + it.name + "' is unnamed or given twice", "name each service once");
    }
    std::set<std::string> names;
    std::set<std::pair<std::string, std::string>> places;
    for (const auto& route : release.routes) {
        if (route.name.empty() || !names.insert(route.name).second)
            invalid("route '" + route.name + "' is unnamed or given twice", "name each route once");
        if (route.path.empty() || route.path.front() != '/')
            invalid("the path prefix of route '" + route.name + "' does not begin with a slash", "begin it with '/'");
        if (!places.insert({ route.host, route.path }).second)
            invalid("route '" + route.name + "' has the host and path prefix of another route",
                "give each route a host and prefix of its own");
        checkTimes(route);
        checkBody(route);
        checkDestination(route, services);
    }
}

ReleaseChange changeOf(const wire::Release& release, const ConfigState& state)
{
    std::vector<wire::Resource> all;
    wire::Resource header;
    header.key = RELEASE_KEY;
    header.__set_releaseResource(release.header);
    all.push_back(std::move(header));
    for (const auto& it : release.services)
        all.push_back(resourceOf(serviceOf(it, state)));
    for (const auto& it : release.routes)
        all.push_back(resourceOf(it));
    std::set<std::string> kept;
    for (const auto& it : all)
        kept.insert(it.key);
    ReleaseChange out;
    for (auto& it : all) {
        if (isChanged(it, state))
            out.set.push_back(std::move(it));
    }
    for (const auto& it : state.resources()) {
        bool ofRelease = it.__isset.route || it.__isset.serviceResource;
        if (ofRelease && !kept.count(it.key))
            out.removed.push_back(it.key);
    }
    return out;
}

std::string releaseRequestId(const std::string& document) { return "release/" + base::sha256Hex(document); }

} // namespace pomelowind::config
