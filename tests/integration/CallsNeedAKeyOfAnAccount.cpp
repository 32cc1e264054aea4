// Where the configuration has client accounts, a call needs a key of one, and the target learns the account's name
// only. Guards against a key or a forged account name that reaches a target, a known key that is refused with 401, a
// nested call that ends its parent with 401, and against changes for deployments without accounts.

#include "pomelowind/base/Hash.h"
#include "tests/support/CallPathFixture.h"
#include "tests/support/ManualClock.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace pomelowind;
using tests::CallPathFixture;

namespace {

constexpr char KEY[] = "secret-key-of-shop";

wire::ClientAccount account(const std::string& name, const std::string& key, int priority = 5)
{
    wire::ClientAccount out;
    out.name = name;
    out.keyDigests = { base::sha256(key) };
    out.priority = priority;
    return out;
}

std::string request(const std::string& id, const std::string& path, const std::string& headers)
{
    return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 5000\r\n"
        + headers + "\r\n";
}

const std::string TOKEN = std::string("Authorization: Token ") + KEY + "\r\n";

class CallsNeedAKeyOfAnAccount : public testing::Test {
protected:
    explicit CallsNeedAKeyOfAnAccount(bool hasAccounts = true)
        : fixture(options(hasAccounts))
    {
    }
    static CallPathFixture::Options options(bool hasAccounts)
    {
        CallPathFixture::Options out;
        if (hasAccounts)
            out.accounts = { account("shop", KEY) };
        return out;
    }
    // Sends a request to node 0 and returns what the target of node 1 got, or an empty string when the caller was
    // answered first; `answer` has the answer then.
    std::string sent(const std::string& bytes)
    {
        auto caller = fixture.connect(0);
        size_t before = received().size();
        caller->write(bytes);
        EXPECT_TRUE(fixture.runUntil([&] {
            return (received().size() > before && received().find("\r\n\r\n", before) != std::string::npos)
                || caller->has("\r\n\r\n");
        }));
        answer = caller->received;
        m_callers.push_back(caller);
        return received().substr(before);
    }
    std::string received()
    {
        std::string out;
        for (const auto& it : fixture.targetConnections(1))
            out += it->received;
        return out;
    }

    CallPathFixture fixture;
    std::string answer;

private:
    std::vector<tests::RawConnectionPtr> m_callers;
};

class CallsOfOpenDeployments : public CallsNeedAKeyOfAnAccount {
protected:
    CallsOfOpenDeployments()
        : CallsNeedAKeyOfAnAccount(false)
    {
    }
};

bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

}

TEST_F(CallsNeedAKeyOfAnAccount, TheTargetGetsTheNameAndNeitherKeyNorForgedName)
{
    auto got = sent(request("a-1", "/again/1", TOKEN + "X-Tenant: bank\r\nx-tenant: bank\r\nX-Other: kept\r\n"));
    EXPECT_TRUE(has(got, "X-Tenant: shop\r\n")) << got;
    EXPECT_FALSE(has(got, "bank"));
    EXPECT_FALSE(has(got, KEY));
    EXPECT_FALSE(has(got, "uthorization"));
    EXPECT_TRUE(has(got, "X-Other: kept"));
}

TEST_F(CallsNeedAKeyOfAnAccount, UnknownAndMissingKeysAreRefusedWith401)
{
    for (const std::string headers : { "", "Authorization: Token wrong\r\n", "Authorization: Token\r\n",
             "Authorization: Basic secret-key-of-shop\r\n", "Authorization: secret-key-of-shop\r\n" }) {
        EXPECT_EQ(sent(request("a-1", "/again/1", headers)), "") << headers;
        EXPECT_TRUE(has(answer, "HTTP/1.1 401 ")) << headers << answer;
        EXPECT_FALSE(has(answer, "Retry-After")) << "a repetition would be refused as well";
        EXPECT_FALSE(has(answer, KEY));
    }
    EXPECT_EQ(fixture.path(0).counts().unauthorized, 5u);
    EXPECT_EQ(sent(request("a-2", "/nowhere/1", "")), "");
    EXPECT_TRUE(has(answer, "HTTP/1.1 404 "));
}

TEST_F(CallsNeedAKeyOfAnAccount, RoutesWithoutAccountNeedNoKeyAndForwardNoForgedName)
{
    auto got = sent(request("a-1", "/open/1", "X-Tenant: shop\r\nAuthorization: Token wrong\r\n"));
    EXPECT_TRUE(has(got, "GET /open/1"));
    EXPECT_FALSE(has(got, "X-Tenant"));
    EXPECT_FALSE(has(got, "uthorization"));
}

TEST_F(CallsNeedAKeyOfAnAccount, AChangedKeyTakesEffectWithTheConfiguration)
{
    fixture.setAccounts({ account("shop", "next") });
    EXPECT_EQ(sent(request("a-1", "/again/1", TOKEN)), "");
    EXPECT_TRUE(has(answer, "HTTP/1.1 401 "));
    EXPECT_TRUE(has(sent(request("a-2", "/again/1", "Authorization: token  next \r\n")), "X-Tenant: shop\r\n"));
    fixture.setAccounts({});
    EXPECT_TRUE(has(sent(request("a-3", "/again/1", "")), "GET /again/1")) << "no accounts, no keys";
}

TEST_F(CallsOfOpenDeployments, AreForwardedAsBefore)
{
    auto got = sent(request("a-1", "/again/1", TOKEN + "X-Tenant: bank\r\n"));
    EXPECT_TRUE(has(got, std::string("Authorization: Token ") + KEY));
    EXPECT_TRUE(has(got, "X-Tenant: bank"));
}

// Guards against a lease that only a message can end, and against 401 for a key that may be valid.
TEST(CallsWithoutALease, AreRefusedWith503AndPublicAndNestedCallsAreServed)
{
    tests::ManualClock clock;
    CallPathFixture::Options options;
    options.accounts = { account("shop", KEY) };
    options.clock = &clock;
    options.keysHonouredUntil = clock.now() + base::Millis(1000);
    CallPathFixture fixture(options);
    auto exchange = [&](const std::string& bytes) {
        auto caller = fixture.connect(0);
        caller->write(bytes);
        EXPECT_TRUE(fixture.runUntil([&] { return caller->has("\r\n\r\n"); }));
        return caller->received;
    };
    // Sends a call and returns whether the target gets it.
    std::vector<tests::RawConnectionPtr> callers;
    auto runs = [&](int node, const std::string& path, const std::string& id, const std::string& headers) {
        callers.push_back(fixture.connect(node));
        callers.back()->write(request(id, path, headers));
        auto atTarget = [&] {
            const auto& all = fixture.targetConnections(1);
            return std::any_of(all.begin(), all.end(), [&](const auto& it) { return it->has("GET " + path + " "); });
        };
        EXPECT_TRUE(fixture.runUntil([&] { return atTarget() || callers.back()->has("\r\n\r\n"); }));
        return atTarget();
    };
    EXPECT_TRUE(runs(0, "/again/parent", "p", TOKEN));
    clock.advance(base::Millis(999));
    EXPECT_EQ(fixture.path(0).leaseLeft(), base::Millis(1));
    clock.advance(base::Millis(1));
    for (const auto& headers : { TOKEN, std::string("Authorization: Token wrong\r\n") }) {
        auto answer = exchange(request("a", "/again/1", headers));
        EXPECT_TRUE(has(answer, "HTTP/1.1 503 ")) << answer;
        EXPECT_TRUE(has(answer, "Retry-After: ")) << answer;
    }
    EXPECT_EQ(fixture.path(0).counts().withoutLease, 2u);
    EXPECT_EQ(fixture.path(0).counts().unauthorized, 0u);
    EXPECT_TRUE(has(exchange(request("a", "/again/1", "")), "HTTP/1.1 401 ")) << "no proof would help it";
    EXPECT_TRUE(runs(0, "/open/2", "o", TOKEN)) << "its route needs no key";
    EXPECT_TRUE(runs(1, "/again/nested", "p.1", "")) << "its parent runs";
    fixture.setKeysHonouredUntil(clock.now() + base::Millis(1000));
    EXPECT_TRUE(runs(0, "/again/3", "b", TOKEN));
}

TEST(NestedCallsWithoutAKey, AreServedWhileTheirParentRunsAndOtherwiseRefusedWith503Then401)
{
    tests::ManualClock clock;
    CallPathFixture::Options options;
    options.accounts = { account("shop", KEY) };
    options.clock = &clock;
    CallPathFixture fixture(options);
    auto exchange = [&](int node, const std::string& bytes) {
        auto caller = fixture.connect(node);
        caller->write(bytes);
        EXPECT_TRUE(fixture.runUntil([&] { return caller->has("\r\n\r\n"); }));
        return caller->received;
    };
    EXPECT_TRUE(has(exchange(1, request("p.1", "/again/1", "")), "HTTP/1.1 503 "))
        << "the parent may have begun before the node's start";
    clock.advance(base::Millis(5001));
    EXPECT_TRUE(has(exchange(1, request("p.1", "/again/1", "")), "HTTP/1.1 401 ")) << "longer than any call runs";

    auto parent = fixture.connect(0);
    parent->write(request("p", "/again/parent", TOKEN));
    ASSERT_TRUE(fixture.runUntil([&] {
        const auto& all = fixture.targetConnections(1);
        return !all.empty() && all.front()->has("/again/parent");
    }));
    auto nested = fixture.connect(1);
    nested->write(request("p.1", "/again/nested", "X-Tenant: bank\r\n"));
    ASSERT_TRUE(fixture.runUntil([&] { return fixture.targetConnections(1).size() == 2; }));
    auto& second = fixture.targetConnections(1).back();
    ASSERT_TRUE(fixture.runUntil([&] { return second->has("\r\n\r\n"); }));
    EXPECT_TRUE(second->has("/again/nested"));
    EXPECT_FALSE(second->has("X-Tenant")) << "it carries no key, and so no account";
    EXPECT_TRUE(has(exchange(0, request("p.1", "/again/1", "")), "HTTP/1.1 401 ")) << "the parent runs at another host";

    parent->close();
    EXPECT_TRUE(fixture.runUntil([&] { return fixture.path(1).localCallCount() == 1; }));
    EXPECT_TRUE(has(exchange(1, request("p.2", "/again/1", "")), "HTTP/1.1 503 "))
        << "the target may still run a parent whose caller has gone away";
}
