// The configuration that nodes run: resources by key, one increasing version, and a hash over all resources.
// Control hosts compute deltas from it; nodes apply each delta as a whole or not at all.
#pragma once

#include "pomelowind/base/Wire.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pomelowind::config {

// Keys of resources, for example "service/finder-app".
std::string serviceKey(const std::string& name);
std::string accountKey(const std::string& name);
// Returns the key of a release's client account, for example "client/shop".
std::string clientKey(const std::string& name);
std::string evacuationKey(const std::string& dataCentre);
inline constexpr char CLAIM_RING_KEY[] = "claims";

// Why a delta was refused.
enum class ApplyRefusal {
    None,
    Older, // its version is not above the current version
    WrongBase, // its base is not the current version
    WrongHash, // the hash of the resulting state differs from the sender's
    DanglingRoute, // a route refers to a service that the resulting state does not contain
    Malformed, // a resource has no key or no content
};

// Returns the name of a refusal in logs and reports, for example "wrong_base".
const char* refusalName(ApplyRefusal refusal);

class ConfigState;

// The state after a delta, or the reason for refusing it. `detail` names the version, base, key or route at fault.
struct ApplyResult {
    std::shared_ptr<const ConfigState> state;
    ApplyRefusal refusal { ApplyRefusal::None };
    std::string detail;
};

// One version of the configuration. Copies share their resources. Immutable but for applyChange(). Thread safety: any
// thread may read a state; applyChange() needs exclusive access.
class ConfigState {
public:
    ConfigState() = default;

    int64_t version() const { return m_version; }
    uint64_t hash() const { return m_hash; }
    size_t size() const { return m_resources.size(); }
    // Return the resource with that key or name, or null.
    const wire::Resource* find(const std::string& key) const;
    // Returns the resource with that key, which outlives the state while it is held, or null.
    std::shared_ptr<const wire::Resource> findShared(const std::string& key) const;
    const wire::ServiceResource* service(const std::string& name) const;
    const wire::ClaimRing* claimRing() const;
    // Returns the number and the caller limits of the release in force, or null when all configuration comes from
    // templates.
    const wire::ReleaseResource* release() const;
    std::vector<const wire::Route*> routes() const;
    std::vector<const wire::ServiceResource*> services() const;
    std::vector<const wire::AccountResource*> accounts() const;
    // Returns the resources of the client accounts of the release, which outlive the state while they are held.
    std::vector<std::shared_ptr<const wire::Resource>> clientAccounts() const;
    // Returns the data centres whose evacuation is in force.
    std::set<std::string> evacuatedDataCentres() const;
    // Returns the version at which `key` was last changed or removed. Returns 0 when it never existed or its tombstone
    // has been discarded.
    int64_t versionOf(const std::string& key) const;

    // Returns all changes and removals after version `base`, or the full state when the tombstones since `base` have
    // been discarded. The size is bounded by the state, not by the number of versions in between.
    wire::Delta deltaSince(int64_t base) const;
    // Returns the state after `delta`, or the reason for refusing it. Never throws, and leaves this state unchanged.
    ApplyResult apply(const wire::Delta& delta) const;
    // Returns the part of the state that a node needs which calls only `services`: without other services and without
    // the account routes to them, with all removals. Returns the full state when `services` is empty.
    ConfigState subsetForServices(const std::set<std::string>& services) const;

    // Return the next version, with one resource set or removed. Used by ConfigMachine.
    ConfigState withResource(wire::Resource resource) const;
    ConfigState withoutResource(const std::string& key) const;

    // Returns the next version, with all resources in `set` and without the keys in `removed`.
    ConfigState withChange(std::vector<wire::Resource> set, const std::vector<std::string>& removed) const;
    // Does the same in place, without copying the state, so that its cost depends on the size of the change only.
    void applyChange(std::vector<wire::Resource> set, const std::vector<std::string>& removed);

    std::vector<wire::Resource> resources() const;
    // Calls `visit` with a reference to each resource, in the order of keys.
    template <class Visit> void forEach(Visit visit) const
    {
        for (const auto& [key, resource] : m_resources)
            visit(*resource);
    }
    // Returns the keys of removed resources and the versions of their removal.
    std::vector<wire::Tombstone> tombstones() const;
    // Returns the lowest base version from which a delta can be computed; below it only the full state is sent.
    int64_t tombstoneFloor() const { return m_tombstoneFloor; }
    // Returns the state of a snapshot.
    static ConfigState restore(int64_t version, const std::vector<wire::Resource>& resources,
        const std::vector<wire::Tombstone>& tombstones, int64_t tombstoneFloor);

private:
    void set(wire::Resource resource);
    void erase(const std::string& key, int64_t version);
    void trimTombstones();
    std::optional<std::string> findDanglingRoute() const;

    int64_t m_version { 0 };
    uint64_t m_hash { 0 };
    std::map<std::string, std::shared_ptr<const wire::Resource>> m_resources;
    std::map<std::string, int64_t> m_tombstones;
    int64_t m_tombstoneFloor { 0 }; // some removals up to this version have no tombstone any more
};

} // namespace pomelowind::config
