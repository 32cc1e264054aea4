#include "pomelowind/callers/AccountKeys.h"

#include "pomelowind/base/Hash.h"

#include <algorithm>
#include <cstring>
#include <string>

namespace pomelowind::callers {

namespace {

    uint64_t prefixOf(std::string_view digest)
    {
        uint64_t out = 0;
        std::memcpy(&out, digest.data(), std::min(sizeof out, digest.size()));
        return out;
    }

    size_t shardOf(std::string_view digest) { return digest.empty() ? 0 : static_cast<unsigned char>(digest.front()); }

    bool isClientKey(const std::string& key) { return key.rfind(config::clientKey({}), 0) == 0; }

}

AccountKeys::Shard& AccountKeys::ownShard(std::string_view digest)
{
    auto i = shardOf(digest);
    if (!m_isOwn[i]) {
        m_shards[i] = m_shards[i] ? std::make_shared<Shard>(*m_shards[i]) : std::make_shared<Shard>();
        m_isOwn[i] = true;
    }
    return *m_shards[i];
}

void AccountKeys::remove(const ResourcePtr& account)
{
    for (const auto& digest : account->clientAccount.keyDigests)
        std::erase_if(ownShard(digest), [&](const Entry& it) { return it.account == account; });
    --m_accounts;
}

void AccountKeys::add(const ResourcePtr& account)
{
    const auto& digests = account->clientAccount.keyDigests;
    for (size_t i = 0; i < digests.size(); ++i) {
        auto& shard = ownShard(digests[i]);
        Entry entry { prefixOf(digests[i]), i, account };
        auto at = std::lower_bound(
            shard.begin(), shard.end(), entry, [](const Entry& a, const Entry& b) { return a.prefix < b.prefix; });
        shard.insert(at, std::move(entry));
    }
    ++m_accounts;
}

AccountKeys::Ptr AccountKeys::build(const config::ConfigState& state)
{
    auto out = std::make_shared<AccountKeys>();
    for (const auto& it : state.clientAccounts())
        out->add(it);
    return out;
}

AccountKeys::Ptr AccountKeys::update(
    const Ptr& previous, const wire::Delta& delta, const config::ConfigState& before, const config::ConfigState& after)
{
    if (!previous || !delta.base)
        return build(after);
    std::vector<std::string> keys;
    for (const auto& it : delta.changed) {
        if (isClientKey(it.key))
            keys.push_back(it.key);
    }
    for (const auto& it : delta.removed) {
        if (isClientKey(it.key))
            keys.push_back(it.key);
    }
    if (keys.empty())
        return previous;
    auto out = std::make_shared<AccountKeys>(*previous);
    out->m_isOwn = {};
    // A key may pass from one account to another, so all old entries are removed before new ones are added.
    for (const auto& it : keys) {
        if (auto account = before.findShared(it))
            out->remove(account);
    }
    for (const auto& it : keys) {
        if (auto account = after.findShared(it))
            out->add(account);
    }
    return out;
}

const wire::ClientAccount* AccountKeys::find(std::string_view key) const
{
    auto digest = base::sha256(key);
    const auto& shard = m_shards[shardOf(digest)];
    if (!shard)
        return nullptr;
    auto prefix = prefixOf(digest);
    auto it = std::lower_bound(
        shard->begin(), shard->end(), prefix, [](const Entry& a, uint64_t b) { return a.prefix < b; });
    for (; it != shard->end() && it->prefix == prefix; ++it) {
        if (it->digest() == digest)
            return &it->account->clientAccount;
    }
    return nullptr;
}

size_t AccountKeys::size() const
{
    size_t out = 0;
    for (const auto& it : m_shards)
        out += it ? it->size() : 0;
    return out;
}

} // namespace pomelowind::callers
