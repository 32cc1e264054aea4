// The configuration as proxies run it: resources by key, one increasing version, and a hash of the whole.
// Control hosts derive deltas from it; nodes apply them as a whole or not at all.
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
inline constexpr char CLAIM_RING_KEY[] = "claims";

// Why a delta was refused.
enum class ApplyRefusal {
    None,
    Older, // its version is not above the one that runs
    WrongBase, // it starts from another version
    WrongHash, // the result is not what the sender meant
    DanglingRoute, // a route points at a service that the result does not have
    Malformed, // a resource without content
};

const char* refusalName(ApplyRefusal refusal);

class ConfigState;

// The next state, or why there is none.
struct ApplyResult {
    std::shared_ptr<const ConfigState> state;
    ApplyRefusal refusal { ApplyRefusal::None };
    std::string detail;
};

// An immutable state. Copies share resources. Thread safety: immutable, so any thread may read it.
class ConfigState {
public:
    ConfigState() = default;

    int64_t version() const { return m_version; }
    uint64_t hash() const { return m_hash; }
    size_t size() const { return m_resources.size(); }
    // The resource at `key`, or null.
    const wire::Resource* find(const std::string& key) const;
    const wire::ServiceResource* service(const std::string& name) const;
    const wire::ClaimRing* claimRing() const;
    // Number and caller bounds of the release in force, or null when configuration comes from templates only.
    const wire::ReleaseResource* release() const;
    std::vector<const wire::Route*> routes() const;
    std::vector<const wire::ServiceResource*> services() const;
    std::vector<const wire::AccountResource*> accounts() const;
    // Version at which `key` last changed or was removed; 0 when it never existed.
    int64_t versionOf(const std::string& key) const;

    // All that changed after `base`. Its size is bounded by the state, not by the number of versions in between.
    wire::Delta deltaSince(int64_t base) const;
    // The state after `delta`. Never throws; a refused delta leaves nothing behind.
    ApplyResult apply(const wire::Delta& delta) const;
    // The part that a node needs which takes calls for `services` only; all when empty. Routes to other services go.
    ConfigState closure(const std::set<std::string>& services) const;

    // Next version with one resource set or removed; used by the control hosts' state machine.
    ConfigState withResource(wire::Resource resource) const;
    ConfigState withoutResource(const std::string& key) const;

    // Next version with all of `set` and without all of `removed`, as one step. change() makes this state the next one,
    // at a cost that grows with the change only.
    ConfigState withChange(std::vector<wire::Resource> set, const std::vector<std::string>& removed) const;
    void change(std::vector<wire::Resource> set, const std::vector<std::string>& removed);

    std::vector<wire::Resource> resources() const;
    // Calls `visit` with each resource, without copying it.
    template <class Visit> void forEach(Visit visit) const
    {
        for (const auto& [key, resource] : m_resources)
            visit(*resource);
    }
    std::vector<wire::Tombstone> tombstones() const;
    int64_t tombstoneFloor() const { return m_tombstoneFloor; }
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
    int64_t m_tombstoneFloor { 0 }; // deltas from below this version must be compact
};

} // namespace pomelowind::config
