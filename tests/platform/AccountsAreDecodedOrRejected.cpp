// Client accounts of a platform configuration are decoded to digests of their keys, or the whole configuration is
// rejected. Guards against accounts that share a key, and against messages that contain a key.

#include "platform/Release.h"
#include "pomelowind/base/Errors.h"
#include "pomelowind/base/Hash.h"
#include "pomelowind/config/ConfigMachine.h"
#include "pomelowind/config/Release.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace pomelowind;
using nlohmann::json;

namespace {

constexpr char KEY[] = "secret-key-of-shop";

json document()
{
    return { { "version", "r7" }, { "base_version", 0 },
        { "routes",
            { { { "name", "one" }, { "host", "a.example" }, { "path_prefix", "/one/" }, { "route_kind", "idempotent" },
                  { "timeout_ms", 1200 }, { "target_latency_ms", 400 }, { "priority", 1 }, { "service", "desk" },
                  { "max_attempts", 2 } },
                { { "name", "health" }, { "host", "a.example" }, { "path_prefix", "/health/" },
                    { "route_kind", "idempotent" }, { "timeout_ms", 1200 }, { "target_latency_ms", 400 },
                    { "priority", 1 }, { "service", "desk" }, { "max_attempts", 2 }, { "public", true } } } },
        { "services", { { { "name", "desk" }, { "health_path", "/healthz" }, { "max_conns", 130 } } } },
        { "tenants",
            { { { "name", "shop" }, { "api_keys", { KEY, "second" } }, { "priority", 1 }, { "rate_per_s", 337 },
                  { "burst", 337.5 } },
                { { "name", "bank" }, { "api_keys", { "third" } }, { "priority", 0 } } } },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 67108864 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } } };
}

wire::Release decoded(const std::string& text)
{
    auto out = platform::decodeRelease(text);
    config::validateRelease(out);
    return out;
}

// Returns the message with which a document is rejected, or an empty string when it is accepted.
std::string rejection(const std::string& text)
{
    try {
        decoded(text);
        return {};
    } catch (const base::UserError& e) {
        EXPECT_EQ(std::string(e.what()).find(KEY), std::string::npos) << "a message contains a key";
        return e.what();
    }
}

std::string rejectionWith(const std::function<void(json&)>& change)
{
    auto body = document();
    change(body);
    return rejection(body.dump());
}

wire::Command submission(const json& body, int64_t base)
{
    wire::Command out;
    out.kind = wire::CommandKind::SUBMIT_RELEASE;
    out.baseVersion = base;
    out.__set_release(decoded(body.dump()));
    return out;
}

}

TEST(AccountsAreDecodedOrRejected, AccountsHaveDigestsInsteadOfKeys)
{
    auto release = decoded(document().dump());
    ASSERT_EQ(release.accounts.size(), 2u);
    const auto& shop = release.accounts[0];
    EXPECT_EQ(shop.keyDigests, (std::vector<std::string> { base::sha256(KEY), base::sha256("second") }));
    EXPECT_EQ(shop.priority, 8) << "platform priority 1 is one below the highest, 9";
    EXPECT_EQ(shop.ratePerSecond, 337);
    EXPECT_EQ(shop.burst, 337.5);
    EXPECT_EQ(release.accounts[1].ratePerSecond, 0) << "no limit";
    EXPECT_FALSE(release.routes[0].withoutAccount);
    EXPECT_TRUE(release.routes[1].withoutAccount);
    auto open = document();
    open.erase("tenants");
    EXPECT_TRUE(decoded(open.dump()).accounts.empty());
}

TEST(AccountsAreDecodedOrRejected, InvalidAccountsRejectTheConfigurationAndAreNamed)
{
    auto names = [](const std::string& message, const std::string& name) {
        return message.find("'" + name + "'") != std::string::npos;
    };
    EXPECT_TRUE(names(rejectionWith([](json& it) { it["tenants"][1]["api_keys"] = { KEY }; }), "bank"));
    EXPECT_TRUE(names(rejectionWith([](json& it) { it["tenants"][1]["api_keys"] = { "" }; }), "bank"));
    EXPECT_TRUE(names(rejectionWith([](json& it) { it["tenants"][1]["api_keys"] = { 5 }; }), "bank"));
    EXPECT_TRUE(names(rejectionWith([](json& it) { it["tenants"][1].erase("api_keys"); }), "bank"));
    EXPECT_TRUE(names(rejectionWith([](json& it) { it["tenants"][1]["rate_per_s"] = -1; }), "bank"));
    EXPECT_TRUE(names(rejectionWith([](json& it) { it["tenants"][1]["burst"] = -0.5; }), "bank"));
    EXPECT_TRUE(names(rejectionWith([](json& it) { it["tenants"][1]["burst"] = "many"; }), "bank"));
    EXPECT_TRUE(names(rejectionWith([](json& it) { it["tenants"][1]["name"] = "shop"; }), "shop"));
    EXPECT_NE(rejectionWith([](json& it) { it["tenants"][1]["name"] = ""; }), "");
    EXPECT_NE(rejectionWith([](json& it) { it["tenants"][1]["name"] = "a\r\nX-Admin: 1"; }), "");
    EXPECT_NE(rejectionWith([](json& it) { it["tenants"] = 5; }), "");
    EXPECT_EQ(rejectionWith([](json&) {}), "");
}

TEST(AccountsAreDecodedOrRejected, NoMessageAboutATruncatedOrDamagedDocumentContainsAKey)
{
    auto text = document().dump();
    for (size_t n = 0; n < text.size(); ++n) {
        EXPECT_NE(rejection(text.substr(0, n)), "") << n;
        auto damaged = text;
        damaged[n] = '\x01';
        rejection(damaged);
    }
    auto number = text;
    number.replace(number.find("337.5"), 5, "1e999");
    EXPECT_NE(rejection(number), "") << "a burst that is not finite";
}

TEST(AccountsAreDecodedOrRejected, OnlyChangedAccountsReachNodesAndDroppedOnesAreRemoved)
{
    config::ConfigMachine machine;
    ASSERT_EQ(machine.apply(1, submission(document(), 0)).code, wire::ResultCode::ACCEPTED);
    auto before = machine.state().version();
    auto next = document();
    next["version"] = "r8";
    next["base_version"] = "r7";
    next["tenants"][0]["api_keys"].push_back("new");
    ASSERT_EQ(machine.apply(2, submission(next, 7)).code, wire::ResultCode::ACCEPTED);
    auto delta = machine.state().deltaSince(before);
    EXPECT_EQ(delta.changed.size(), 2u) << "the release resource and one account";
    EXPECT_EQ(base::encode(delta).find(KEY), std::string::npos);
    next["version"] = "r9";
    next["base_version"] = "r8";
    next.erase("tenants");
    ASSERT_EQ(machine.apply(3, submission(next, 8)).code, wire::ResultCode::ACCEPTED);
    EXPECT_TRUE(machine.state().clientAccounts().empty());
    EXPECT_EQ(machine.releaseDocument(), next.dump()) << "read back as it was sent";
}
