// Finds the client account of a key. Only SHA-256 digests of keys are known. Built on the distribution event loop for
// each configuration version that changes accounts, with work proportional to the change, and then read by the calls
// event loop.
#pragma once

#include "pomelowind/config/ConfigState.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace pomelowind::callers {

// Thread safety: immutable, any thread.
class AccountKeys {
public:
    using Ptr = std::shared_ptr<const AccountKeys>;

    // Returns the keys of the state `after`, which `delta` made from `before`; `previous` has the keys of `before` and
    // may be null when there were none. Returns `previous` itself when the delta changes no account.
    static Ptr update(const Ptr& previous, const wire::Delta& delta, const config::ConfigState& before,
        const config::ConfigState& after);
    // Returns the keys of a whole state.
    static Ptr build(const config::ConfigState& state);

    // Returns the client account that has this key, or null. The account is valid as long as this object.
    const wire::ClientAccount* find(std::string_view key) const;
    // Returns whether there are no client accounts, so that calls need no key.
    bool empty() const { return !m_accounts; }
    // Number of keys.
    size_t size() const;

private:
    using ResourcePtr = std::shared_ptr<const wire::Resource>;
    // A key of an account; `prefix` is the begin of its digest.
    struct Entry {
        uint64_t prefix { 0 };
        size_t index { 0 }; // in the account's digests
        ResourcePtr account;
        const std::string& digest() const { return account->clientAccount.keyDigests[index]; }
    };
    using Shard = std::vector<Entry>; // by digest
    // A change copies the shards of the changed keys only: of 100,000 keys, 400 for each.
    static constexpr size_t SHARDS = 256;

    void remove(const ResourcePtr& account);
    void add(const ResourcePtr& account);
    Shard& ownShard(std::string_view digest);

    std::array<std::shared_ptr<Shard>, SHARDS> m_shards;
    std::array<bool, SHARDS> m_isOwn {}; // shards that this object has copied and may change while it is built
    size_t m_accounts { 0 };
};

} // namespace pomelowind::callers
