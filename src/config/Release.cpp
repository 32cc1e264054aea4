#include "pomelowind/config/Release.h"

#include "pomelowind/base/Errors.h"
#include "pomelowind/base/Hash.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace pomelowind::config {

namespace {

    using base::ErrorKind;
    using base::UserError;

    // A longer call would outlive any caller and occupy a concurrency slot of the target meanwhile.
    constexpr int32_t MAX_TIMEOUT_MS = 10 * 60 * 1000;
    // A latency objective this far beyond the timeout can never be evaluated: the call has timed out long before.
    constexpr int32_t MAX_OBJECTIVE_MARGIN_MS = 60 * 1000;

    // A target that is cold for longer is faulty rather than cold.
    constexpr int32_t MAX_COLD_START_MS = 10 * 60 * 1000;
    // Gates remember as many calls. No target of this system serves a tenth of it.
    constexpr double MAX_COLD_CALLS_PER_SECOND = 10000;

    [[noreturn]] void throwInvalid(const std::string& message, const std::string& remedy)
    {
        throw UserError(ErrorKind::InvalidInput, message, remedy);
    }

    void checkTimes(const wire::Route& route)
    {
        if (route.timeoutMs <= 0)
            throwInvalid("route '" + route.name + "' has no timeout", "give a timeout above 0 ms");
        if (route.timeoutMs > MAX_TIMEOUT_MS)
            throwInvalid("route '" + route.name + "' has a timeout over ten minutes", "give at most 600000 ms");
        if (static_cast<int64_t>(route.objectiveMs) - route.timeoutMs >= MAX_OBJECTIVE_MARGIN_MS)
            throwInvalid("route '" + route.name + "' has a latency objective far beyond its timeout",
                "give an objective below the timeout");
    }

    void checkColdStart(const wire::ServiceSpec& service)
    {
        if (service.coldStartMs < 0 || service.coldStartMs > MAX_COLD_START_MS)
            throwInvalid("service '" + service.name + "' has a cold start below 0 or over ten minutes",
                "give from 0 to 600 seconds");
        double rate = service.coldCallsPerSecond;
        bool isInRange = std::isfinite(rate) && rate >= 0 && rate <= MAX_COLD_CALLS_PER_SECOND;
        if (!isInRange)
            throwInvalid("service '" + service.name + "' has an impossible number of calls per second while cold",
                "give from 0 (no limit) to 10000 calls per second");
    }

    void checkBody(const wire::Route& route)
    {
        if (route.largeBody && route.idempotent)
            throwInvalid("route '" + route.name + "' takes large bodies and is idempotent",
                "a large body is not kept for a second run; make the route not idempotent");
    }

    using Names = std::unordered_set<std::string_view>;

    void checkDestination(const wire::Route& route, const Names& services)
    {
        if (route.split.empty()) {
            if (!services.count(route.serviceName))
                throwInvalid("route '" + route.name + "' points at unknown service '" + route.serviceName + "'",
                    "add the service to the release");
            return;
        }
        int64_t sum = 0;
        for (const auto& part : route.split) {
            if (!services.count(part.serviceName))
                throwInvalid("route '" + route.name + "' splits to unknown service '" + part.serviceName + "'",
                    "add the service to the release");
            if (part.weight < 0)
                throwInvalid("route '" + route.name + "' has a negative weight", "give weights of 0 or more");
            sum += part.weight;
        }
        if (sum == 0)
            throwInvalid("the weights of route '" + route.name + "' add up to 0", "give at least one weight above 0");
    }

    // Names reach targets in a header field.
    bool isHeaderValue(const std::string& text)
    {
        bool isPrintable
            = std::none_of(text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; });
        return isPrintable && text.front() != ' ' && text.back() != ' ';
    }

    // No message contains a key or its digest.
    void checkClientAccounts(const std::vector<wire::ClientAccount>& accounts)
    {
        const auto emptyKey = base::sha256({});
        Names names;
        std::unordered_map<std::string_view, std::string_view> ownerOfDigest;
        for (const auto& it : accounts) {
            auto subject = "client account '" + it.name + "'";
            if (it.name.empty())
                throwInvalid("a client account has no name", "name each client account");
            if (!isHeaderValue(it.name))
                throwInvalid(subject + " has a name that does not fit into a header field",
                    "use no control characters, and no spaces at the ends");
            if (!names.insert(it.name).second)
                throwInvalid(subject + " is given twice", "give each client account a name of its own");
            if (!(it.ratePerSecond >= 0) || !std::isfinite(it.ratePerSecond))
                throwInvalid(subject + " has a rate that is negative or not a number", "give a rate of 0 or more");
            if (!(it.burst >= 0) || !std::isfinite(it.burst))
                throwInvalid(subject + " has a burst that is negative or not a number", "give a burst of 0 or more");
            for (const auto& digest : it.keyDigests) {
                if (digest.size() != emptyKey.size())
                    throwInvalid(
                        subject + " has a key that is not given by its digest", "give the SHA-256 of each key");
                if (digest == emptyKey)
                    throwInvalid(subject + " has an empty key", "remove the key or replace it");
                auto [owner, isNew] = ownerOfDigest.emplace(digest, it.name);
                if (!isNew && owner->second != it.name)
                    throwInvalid(subject + " has a key of client account '" + std::string(owner->second) + "'",
                        "give each key to one client account");
            }
        }
    }

    wire::ServiceResource mergedService(const wire::ServiceSpec& spec, const ConfigState& state)
    {
        wire::ServiceResource out;
        if (const auto* current = state.service(spec.name))
            out = *current;
        out.name = spec.name;
        out.healthPath = spec.healthPath;
        out.maxConnections = spec.maxConnections;
        out.coldStartMs = spec.coldStartMs;
        out.coldCallsPerSecond = spec.coldCallsPerSecond;
        return out;
    }

    // Adds a resource with `content` to `out` unless the state contains the same content at `key`. `field` is the
    // member of wire::Resource for this type of content.
    template <class T, class Set>
    void addIfChanged(std::vector<wire::Resource>& out, const std::string& key, const T& content,
        const ConfigState& state, T wire::Resource::*field, Set set)
    {
        const auto* current = state.find(key);
        if (current && current->*field == content)
            return;
        wire::Resource changed;
        changed.key = key;
        set(changed);
        out.push_back(std::move(changed));
    }

}

std::string routeKey(const std::string& name) { return "route/" + name; }

void validateRelease(const wire::Release& release)
{
    if (release.header.number <= 0)
        throwInvalid("the release has no number", "number releases from 1");
    Names serviceNames;
    for (const auto& it : release.services) {
        if (it.name.empty() || !serviceNames.insert(it.name).second)
            throwInvalid("service '" + it.name + "' is unnamed or given twice", "name each service once");
        checkColdStart(it);
    }
    Names routeNames;
    std::unordered_map<std::string_view, Names> pathsByHost; // path prefixes by host name
    for (const auto& route : release.routes) {
        if (route.name.empty() || !routeNames.insert(route.name).second)
            throwInvalid("route '" + route.name + "' is unnamed or given twice", "name each route once");
        if (route.path.empty() || route.path.front() != '/')
            throwInvalid(
                "the path prefix of route '" + route.name + "' does not begin with a slash", "begin it with '/'");
        if (!pathsByHost[route.host].insert(route.path).second)
            throwInvalid("route '" + route.name + "' has the host and path prefix of another route",
                "give each route a host and prefix of its own");
        checkTimes(route);
        checkBody(route);
        checkDestination(route, serviceNames);
    }
    checkClientAccounts(release.accounts);
}

ReleaseChange computeReleaseChange(const wire::Release& release, const ConfigState& state)
{
    ReleaseChange out;
    std::unordered_set<std::string> keptKeys { RELEASE_KEY };
    addIfChanged(out.set, RELEASE_KEY, release.header, state, &wire::Resource::releaseResource,
        [&](wire::Resource& it) { it.__set_releaseResource(release.header); });
    for (const auto& it : release.services) {
        auto service = mergedService(it, state);
        auto key = serviceKey(it.name);
        addIfChanged(out.set, key, service, state, &wire::Resource::serviceResource,
            [&](wire::Resource& changed) { changed.__set_serviceResource(service); });
        keptKeys.insert(std::move(key));
    }
    for (const auto& it : release.routes) {
        auto key = routeKey(it.name);
        addIfChanged(
            out.set, key, it, state, &wire::Resource::route, [&](wire::Resource& changed) { changed.__set_route(it); });
        keptKeys.insert(std::move(key));
    }
    for (const auto& it : release.accounts) {
        auto key = clientKey(it.name);
        addIfChanged(out.set, key, it, state, &wire::Resource::clientAccount,
            [&](wire::Resource& changed) { changed.__set_clientAccount(it); });
        keptKeys.insert(std::move(key));
    }
    state.forEach([&](const wire::Resource& it) {
        bool belongsToRelease = it.__isset.route || it.__isset.serviceResource || it.__isset.clientAccount;
        if (belongsToRelease && !keptKeys.count(it.key))
            out.removed.push_back(it.key);
    });
    return out;
}

std::string releaseRequestId(const std::string& document) { return "release/" + base::sha256Hex(document); }

} // namespace pomelowind::config
