// A key finds the client account that has it, also after changes of the configuration. Guards against a known key that
// is refused, a removed key that is honoured, and an index whose work or memory follows the state instead of the
// change.

#include "pomelowind/base/Hash.h"
#include "pomelowind/base/Random.h"
#include "pomelowind/callers/AccountKeys.h"
#include "pomelowind/callers/KeyCheck.h"

#include <gtest/gtest.h>
#include <map>
#include <set>

using namespace pomelowind;
using callers::AccountKeys;
using callers::KeyVerdict;

namespace {

wire::Resource account(const std::string& name, const std::set<std::string>& keys)
{
    wire::ClientAccount content;
    content.name = name;
    for (const auto& it : keys)
        content.keyDigests.push_back(base::sha256(it));
    wire::Resource out;
    out.key = config::clientKey(name);
    out.__set_clientAccount(content);
    return out;
}

}

TEST(KeysFindTheirAccounts, AfterEveryOfManyRandomChanges)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        base::Random random(seed);
        std::map<std::string, std::set<std::string>> expected; // keys by account
        config::ConfigState control;
        auto node = std::make_shared<const config::ConfigState>();
        AccountKeys::Ptr index;
        for (int round = 0; round < 100; ++round) {
            std::vector<wire::Resource> set;
            std::vector<std::string> removed;
            auto name = "a" + std::to_string(random.uniformBelow(12));
            auto other = "a" + std::to_string(random.uniformBelow(12));
            if (random.bernoulli(0.2)) {
                if (expected.erase(name))
                    removed.push_back(config::clientKey(name));
            } else if (name != other && random.bernoulli(0.3) && !expected[name].empty()) {
                // A key passes to another account within one version.
                expected[other].insert(*expected[name].begin());
                expected[name].erase(expected[name].begin());
                set = { account(name, expected[name]), account(other, expected[other]) };
            } else {
                expected[name].insert(name + "-" + std::to_string(round));
                set = { account(name, expected[name]) };
            }
            for (auto it = expected.begin(); it != expected.end();) {
                if (it->second.empty() && !control.find(config::clientKey(it->first)) && set.empty())
                    it = expected.erase(it);
                else
                    ++it;
            }
            control.applyChange(set, removed);
            auto delta = control.deltaSince(random.bernoulli(0.1) ? 0 : node->version());
            auto applied = node->apply(delta);
            ASSERT_TRUE(applied.state) << applied.detail;
            index = AccountKeys::update(index, delta, *node, *applied.state);
            node = applied.state;
            size_t keys = 0;
            for (const auto& [owner, ownKeys] : expected) {
                for (const auto& key : ownKeys) {
                    ++keys;
                    const auto* found = index->find(key);
                    ASSERT_TRUE(found) << "seed " << seed << " round " << round << " " << key;
                    ASSERT_EQ(found->name, owner);
                }
            }
            ASSERT_EQ(index->size(), keys) << "no entry of an earlier version is left";
            ASSERT_FALSE(index->find("never given"));
        }
    }
}

TEST(KeysFindTheirAccounts, AndAChangeOfRoutesAloneKeepsTheIndex)
{
    config::ConfigState control;
    control.applyChange({ account("a", { "k" }) }, {});
    auto index = AccountKeys::build(control);
    auto before = control;
    wire::ServiceResource service;
    service.name = "s";
    wire::Resource changed;
    changed.key = config::serviceKey("s");
    changed.__set_serviceResource(service);
    control.applyChange({ changed }, {});
    auto delta = control.deltaSince(before.version());
    EXPECT_EQ(delta.changed.size(), 1u) << "the delta has the change alone";
    EXPECT_EQ(AccountKeys::update(index, delta, before, control), index);
}

TEST(KeysFindTheirAccounts, AndAStateWithoutAccountsNeedsNoKeys)
{
    config::ConfigState control;
    control.applyChange({ account("a", { "k" }) }, {});
    auto index = AccountKeys::build(control);
    EXPECT_FALSE(index->empty());
    auto before = control;
    control.applyChange({}, { config::clientKey("a") });
    EXPECT_TRUE(AccountKeys::update(index, control.deltaSince(before.version()), before, control)->empty());
}

TEST(KeysFindTheirAccounts, CallsWithoutAKnownKeyAreAdmittedOnlyForARunningParent)
{
    callers::KeyEvidence none;
    EXPECT_EQ(callers::checkKey(none), KeyVerdict::Unauthorized);
    auto nested = none;
    nested.namesParent = true;
    EXPECT_EQ(callers::checkKey(nested), KeyVerdict::Unauthorized);
    nested.parentMayRun = true;
    EXPECT_EQ(callers::checkKey(nested), KeyVerdict::ParentUnknown) << "503, since a 401 would end the parent's call";
    nested.parentRuns = true;
    EXPECT_EQ(callers::checkKey(nested), KeyVerdict::Admitted);
    nested.hasKey = true;
    EXPECT_EQ(callers::checkKey(nested), KeyVerdict::Unauthorized) << "an unknown key is refused, whoever sends it";
    nested.isKnown = true;
    EXPECT_EQ(callers::checkKey(nested), KeyVerdict::Admitted);
    none.needsKey = false;
    EXPECT_EQ(callers::checkKey(none), KeyVerdict::Admitted);
}
