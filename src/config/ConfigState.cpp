#include "pomelowind/config/ConfigState.h"

#include "pomelowind/base/Hash.h"
#include "pomelowind/config/Release.h"

#include <algorithm>

namespace pomelowind::config {

namespace {

    constexpr size_t MAX_TOMBSTONES = 512;

    uint64_t hashOf(const wire::Resource& resource) { return base::hash64(base::encode(resource)); }

    // Returns the tombstone floor after a full state. Its receiver knows only the tombstones in it, so removals before
    // the oldest one are unknown.
    int64_t tombstoneFloorOf(const wire::Delta& delta)
    {
        int64_t floor = delta.version;
        for (const auto& it : delta.removed)
            floor = std::min(floor, it.version);
        return floor;
    }

    bool hasContent(const wire::Resource& it)
    {
        return !it.key.empty()
            && (it.__isset.serviceResource || it.__isset.accountResource || it.__isset.claimRing || it.__isset.route
                || it.__isset.releaseResource || it.__isset.clientAccount || it.__isset.evacuation);
    }

}

std::string serviceKey(const std::string& name) { return "service/" + name; }

std::string accountKey(const std::string& name) { return "account/" + name; }

std::string clientKey(const std::string& name) { return "client/" + name; }
std::string evacuationKey(const std::string& dataCentre) { return "evacuation/" + dataCentre; }

const char* refusalName(ApplyRefusal refusal)
{
    switch (refusal) {
    case ApplyRefusal::None:
        return "none";
    case ApplyRefusal::Older:
        return "older";
    case ApplyRefusal::WrongBase:
        return "wrong_base";
    case ApplyRefusal::WrongHash:
        return "wrong_hash";
    case ApplyRefusal::DanglingRoute:
        return "dangling_route";
    case ApplyRefusal::Malformed:
        return "malformed";
    }
    return "unknown";
}

const wire::Resource* ConfigState::find(const std::string& key) const
{
    auto it = m_resources.find(key);
    return it == m_resources.end() ? nullptr : it->second.get();
}

std::shared_ptr<const wire::Resource> ConfigState::findShared(const std::string& key) const
{
    auto it = m_resources.find(key);
    return it == m_resources.end() ? nullptr : it->second;
}

const wire::ServiceResource* ConfigState::service(const std::string& name) const
{
    const auto* resource = find(serviceKey(name));
    return resource ? &resource->serviceResource : nullptr;
}

const wire::ClaimRing* ConfigState::claimRing() const
{
    const auto* resource = find(CLAIM_RING_KEY);
    return resource ? &resource->claimRing : nullptr;
}

const wire::ReleaseResource* ConfigState::release() const
{
    const auto* resource = find(RELEASE_KEY);
    return resource ? &resource->releaseResource : nullptr;
}

std::vector<const wire::Route*> ConfigState::routes() const
{
    std::vector<const wire::Route*> out;
    for (const auto& [key, resource] : m_resources) {
        if (resource->__isset.route)
            out.push_back(&resource->route);
    }
    return out;
}

std::vector<const wire::ServiceResource*> ConfigState::services() const
{
    std::vector<const wire::ServiceResource*> out;
    for (const auto& [key, resource] : m_resources) {
        if (resource->__isset.serviceResource)
            out.push_back(&resource->serviceResource);
    }
    return out;
}

std::vector<const wire::AccountResource*> ConfigState::accounts() const
{
    std::vector<const wire::AccountResource*> out;
    for (const auto& [key, resource] : m_resources) {
        if (resource->__isset.accountResource)
            out.push_back(&resource->accountResource);
    }
    return out;
}

std::vector<std::shared_ptr<const wire::Resource>> ConfigState::clientAccounts() const
{
    std::vector<std::shared_ptr<const wire::Resource>> out;
    for (const auto& [key, resource] : m_resources) {
        if (resource->__isset.clientAccount)
            out.push_back(resource);
    }
    return out;
}

std::set<std::string> ConfigState::evacuatedDataCentres() const
{
    std::set<std::string> out;
    for (auto it = m_resources.lower_bound(evacuationKey("")); it != m_resources.end(); ++it) {
        if (!it->second->__isset.evacuation)
            break;
        out.insert(it->second->evacuation.dataCentre);
    }
    return out;
}

int64_t ConfigState::versionOf(const std::string& key) const
{
    if (const auto* resource = find(key))
        return resource->version;
    auto it = m_tombstones.find(key);
    return it == m_tombstones.end() ? 0 : it->second;
}

wire::Delta ConfigState::deltaSince(int64_t base) const
{
    // The tombstones after a base below the floor are incomplete, so send the full state: a delta could miss a removal.
    if (base < m_tombstoneFloor || base > m_version)
        base = 0;
    wire::Delta delta;
    delta.base = base;
    delta.version = m_version;
    delta.hash = static_cast<int64_t>(m_hash);
    for (const auto& [key, resource] : m_resources) {
        if (resource->version > base)
            delta.changed.push_back(*resource);
    }
    for (const auto& [key, version] : m_tombstones) {
        if (version <= base && base)
            continue;
        wire::Tombstone tombstone;
        tombstone.key = key;
        tombstone.version = version;
        delta.removed.push_back(tombstone);
    }
    return delta;
}

ApplyResult ConfigState::apply(const wire::Delta& delta) const
{
    if (delta.version <= m_version)
        return { nullptr, ApplyRefusal::Older, "version " + std::to_string(delta.version) };
    if (delta.base && delta.base != m_version)
        return { nullptr, ApplyRefusal::WrongBase, "base " + std::to_string(delta.base) };
    auto next = std::make_shared<ConfigState>();
    if (delta.base)
        *next = *this;
    for (const auto& it : delta.removed)
        next->erase(it.key, it.version);
    for (const auto& it : delta.changed) {
        if (!hasContent(it))
            return { nullptr, ApplyRefusal::Malformed, it.key };
        next->set(it);
    }
    next->m_version = delta.version;
    if (!delta.base)
        next->m_tombstoneFloor = tombstoneFloorOf(delta);
    next->trimTombstones();
    if (next->m_hash != static_cast<uint64_t>(delta.hash))
        return { nullptr, ApplyRefusal::WrongHash, "version " + std::to_string(delta.version) };
    if (auto dangling = next->findDanglingRoute())
        return { nullptr, ApplyRefusal::DanglingRoute, *dangling };
    return { next, ApplyRefusal::None, {} };
}

std::optional<std::string> ConfigState::findDanglingRoute() const
{
    for (const auto* account : accounts()) {
        for (const auto& route : account->routes) {
            if (!service(route.serviceName))
                return account->name + route.path + " -> " + route.serviceName;
        }
    }
    for (const auto* route : routes()) {
        if (route->split.empty() && !service(route->serviceName))
            return route->name + " -> " + route->serviceName;
        for (const auto& part : route->split) {
            if (!service(part.serviceName))
                return route->name + " -> " + part.serviceName;
        }
    }
    return std::nullopt;
}

ConfigState ConfigState::subsetForServices(const std::set<std::string>& services) const
{
    if (services.empty())
        return *this;
    // Shares the resources that stay as they are, and corrects the hash for the others: hashing 100,000 client accounts
    // for each version would take a node with a tenth of a core seconds.
    ConfigState out;
    out.m_version = m_version;
    out.m_hash = m_hash;
    out.m_tombstones = m_tombstones;
    out.m_tombstoneFloor = m_tombstoneFloor;
    for (const auto& [key, resource] : m_resources) {
        bool isDropped = resource->__isset.serviceResource && !services.count(resource->serviceResource.name);
        if (!isDropped && !resource->__isset.accountResource) {
            out.m_resources.emplace_hint(out.m_resources.end(), key, resource);
            continue;
        }
        out.m_hash ^= hashOf(*resource);
        if (isDropped)
            continue;
        wire::Resource kept = *resource;
        std::erase_if(
            kept.accountResource.routes, [&](const wire::Route& it) { return !services.count(it.serviceName); });
        if (!kept.accountResource.routes.empty())
            out.set(std::move(kept));
    }
    return out;
}

void ConfigState::set(wire::Resource resource)
{
    auto& slot = m_resources[resource.key];
    if (slot)
        m_hash ^= hashOf(*slot);
    m_tombstones.erase(resource.key);
    m_hash ^= hashOf(resource);
    slot = std::make_shared<const wire::Resource>(std::move(resource));
}

void ConfigState::erase(const std::string& key, int64_t version)
{
    auto it = m_resources.find(key);
    if (it != m_resources.end()) {
        m_hash ^= hashOf(*it->second);
        m_resources.erase(it);
    }
    m_tombstones[key] = version;
}

void ConfigState::trimTombstones()
{
    while (m_tombstones.size() > MAX_TOMBSTONES) {
        auto oldest = std::min_element(
            m_tombstones.begin(), m_tombstones.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
        m_tombstoneFloor = std::max(m_tombstoneFloor, oldest->second);
        m_tombstones.erase(oldest);
    }
}

ConfigState ConfigState::withResource(wire::Resource resource) const
{
    ConfigState next = *this;
    ++next.m_version;
    resource.version = next.m_version;
    next.set(std::move(resource));
    return next;
}

ConfigState ConfigState::withoutResource(const std::string& key) const
{
    ConfigState next = *this;
    ++next.m_version;
    next.erase(key, next.m_version);
    next.trimTombstones();
    return next;
}

ConfigState ConfigState::withChange(std::vector<wire::Resource> set, const std::vector<std::string>& removed) const
{
    ConfigState next = *this;
    next.applyChange(std::move(set), removed);
    return next;
}

void ConfigState::applyChange(std::vector<wire::Resource> set, const std::vector<std::string>& removed)
{
    ++m_version;
    for (const auto& it : removed)
        erase(it, m_version);
    for (auto& it : set) {
        it.version = m_version;
        this->set(std::move(it));
    }
    trimTombstones();
}

std::vector<wire::Resource> ConfigState::resources() const
{
    std::vector<wire::Resource> out;
    for (const auto& [key, resource] : m_resources)
        out.push_back(*resource);
    return out;
}

std::vector<wire::Tombstone> ConfigState::tombstones() const
{
    std::vector<wire::Tombstone> out;
    for (const auto& [key, version] : m_tombstones) {
        wire::Tombstone tombstone;
        tombstone.key = key;
        tombstone.version = version;
        out.push_back(tombstone);
    }
    return out;
}

ConfigState ConfigState::restore(int64_t version, const std::vector<wire::Resource>& resources,
    const std::vector<wire::Tombstone>& tombstones, int64_t tombstoneFloor)
{
    ConfigState state;
    for (const auto& it : resources)
        state.set(it);
    for (const auto& it : tombstones)
        state.m_tombstones[it.key] = it.version;
    state.m_version = version;
    state.m_tombstoneFloor = tombstoneFloor;
    return state;
}

} // namespace pomelowind::config
