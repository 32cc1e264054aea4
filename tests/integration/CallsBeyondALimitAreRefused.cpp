// A call beyond the limit of its client account gets 429 at the caller's node. Guards against such calls that reach a
// target, nested calls that count, and calls that have not run and use up the limit all the same.

#include "pomelowind/base/Hash.h"
#include "tests/support/CallPathFixture.h"
#include "tests/support/ManualClock.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using tests::CallPathFixture;

namespace {

const std::string TOKEN = "Authorization: Token key\r\n";

std::string request(const std::string& id, const std::string& headers = TOKEN)
{
    return "GET /again/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 5000\r\n" + headers
        + "\r\n";
}

class CallsBeyondALimitAreRefused : public testing::Test {
protected:
    CallsBeyondALimitAreRefused()
        : fixture(options())
    {
    }

    // The nodes of the fixture have heard of no leader and have just started, so that they admit no burst.
    static CallPathFixture::Options options()
    {
        CallPathFixture::Options out;
        wire::ClientAccount account;
        account.name = "shop";
        account.keyDigests = { base::sha256("key") };
        account.ratePerSecond = account.burst = 0.001;
        out.accounts = { account };
        out.targetsAt = { 0 };
        return out;
    }

    tests::RawConnectionPtr send(const std::string& bytes)
    {
        auto caller = fixture.connect(0);
        caller->write(bytes);
        return caller;
    }

    CallPathFixture fixture;
};

}

TEST_F(CallsBeyondALimitAreRefused, BeforeTheyReachATarget)
{
    auto caller = send(request("a-1"));
    ASSERT_TRUE(fixture.runUntil([&] { return caller->has("\r\n\r\n"); }));
    EXPECT_TRUE(caller->has("HTTP/1.1 429 ")) << caller->received;
    EXPECT_TRUE(caller->has("Retry-After: ")) << caller->received;
    EXPECT_EQ(fixture.path(0).counts().overQuota, 1u);
    EXPECT_EQ(fixture.path(0).counts().overEqualPart, 1u);
    for (const auto& it : fixture.targetConnections(0))
        EXPECT_FALSE(it->has("/again/1"));
}

TEST_F(CallsBeyondALimitAreRefused, NestedCallsAreNot)
{
    auto parent = send("GET /open/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: p-1\r\nX-Deadline-Ms: 5000\r\n\r\n");
    auto reached = [this](const std::string& path) {
        for (const auto& it : fixture.targetConnections(0)) {
            if (it->has("GET " + path))
                return true;
        }
        return false;
    };
    ASSERT_TRUE(fixture.runUntil([&] { return reached("/open/1"); }));
    auto nested = send(request("p-1.1"));
    EXPECT_TRUE(fixture.runUntil([&] { return reached("/again/1") || nested->has("\r\n\r\n"); }));
    EXPECT_TRUE(reached("/again/1")) << nested->received;
    EXPECT_EQ(fixture.path(0).counts().overQuota, 0u);
}

TEST_F(CallsBeyondALimitAreRefused, AccountsWithoutALimitAreNot)
{
    auto accounts = options().accounts;
    accounts[0].ratePerSecond = 0;
    fixture.setAccounts(accounts);
    auto caller = send(request("a-1"));
    EXPECT_TRUE(fixture.runUntil([&] {
        auto& connections = fixture.targetConnections(0);
        return !connections.empty() && connections.back()->has("GET /again/1");
    })) << caller->received;
    EXPECT_EQ(fixture.path(0).counts().overQuota, 0u);
}
