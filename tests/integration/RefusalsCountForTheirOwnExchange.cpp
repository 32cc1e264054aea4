// Guards against a target's repeated refusal that is taken for the answer to a request which the target runs.

#include "tests/support/CallPathFixture.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using tests::CallPathFixture;
using tests::RawConnectionPtr;

namespace {

// Refusals of the two protocols; the platform's names the request that it answers unless the id is empty.
struct Dialect {
    std::string name;
    bool isProduct;
    std::string mark;
};

std::ostream& operator<<(std::ostream& out, const Dialect& dialect) { return out << dialect.name; }

const Dialect PLATFORM { "platform", false, "X-Not-Executed: full\r\n" };
const Dialect PRODUCT { "product", true, "X-Pomelowind-Outcome: not-run\r\n" };

std::string refusal(const Dialect& dialect, const std::string& id)
{
    std::string echo = dialect.isProduct || id.empty() ? "" : "X-Request-Id: " + id + "\r\n";
    return "HTTP/1.1 503 X\r\n" + echo + dialect.mark + "Content-Length: 0\r\n\r\n";
}

std::string idLine(const std::string& id) { return "X-Request-Id: " + id + "\r\n"; }

class RefusalsCountForTheirOwnExchange : public testing::TestWithParam<Dialect> {
protected:
    void start(int maxAttempts)
    {
        caller.reset();
        first.reset();
        fixture.reset();
        CallPathFixture::Options options;
        options.usesProductProtocol = GetParam().isProduct;
        options.maxAttempts = maxAttempts;
        fixture = std::make_unique<CallPathFixture>(options);
        caller = fixture->connect(0);
    }

    // Returns how often the target has got the request.
    size_t arrivals(const std::string& id)
    {
        size_t n = 0;
        for (const auto& it : fixture->targetConnections(1)) {
            for (auto at = it->received.find(idLine(id)); at != std::string::npos;
                 at = it->received.find(idLine(id), at + 1))
                ++n;
        }
        return n;
    }

    // Returns the connection over which the newest request with this id came, once it has come `n` times.
    RawConnectionPtr awaitArrival(const std::string& id, size_t n = 1)
    {
        EXPECT_TRUE(fixture->runUntil([&] { return arrivals(id) >= n; })) << id << " came " << arrivals(id) << " times";
        RawConnectionPtr out;
        for (const auto& it : fixture->targetConnections(1)) {
            if (it->has(idLine(id)))
                out = it;
        }
        return out;
    }

    bool awaitCaller(const std::string& text)
    {
        return fixture->runUntil([&] { return caller->has(text); });
    }

    // Runs until what was written has been read by the node.
    void settle()
    {
        for (int i = 0; i < 5; ++i)
            fixture->step();
    }

    // The target has got "u2" as well; after the repeated refusal of "u1" it runs "u2" to its end.
    void expectOwnAnswer()
    {
        caller->received.clear();
        caller->write(CallPathFixture::post("u2", 2) + "hi");
        auto second = awaitArrival("u2");
        ASSERT_TRUE(second);
        if (!first->closed)
            first->write(refusal(GetParam(), lateId));
        settle();
        second->write(CallPathFixture::answer("u2", "ran to its end"));
        EXPECT_TRUE(awaitCaller("ran to its end")) << caller->received;
        EXPECT_EQ(arrivals("u2"), 1u);
    }

    void refuseFirst(const std::string& bytes)
    {
        caller->write(CallPathFixture::post("u1", 2) + "hi");
        first = awaitArrival("u1");
        ASSERT_TRUE(first);
        first->write(bytes);
        ASSERT_TRUE(awaitCaller("HTTP/1.1 503")) << caller->received;
    }

    std::unique_ptr<CallPathFixture> fixture;
    RawConnectionPtr caller;
    RawConnectionPtr first; // over which "u1" came first
    std::string lateId { "u1" };
};

INSTANTIATE_TEST_SUITE_P(BothProtocols, RefusalsCountForTheirOwnExchange, testing::Values(PLATFORM, PRODUCT),
    [](const auto& it) { return it.param.name; });

}

TEST_P(RefusalsCountForTheirOwnExchange, RepeatedBeforeTheSameRequestRunsAtTheSameTarget)
{
    for (int maxAttempts : { 2, 3 }) {
        SCOPED_TRACE(maxAttempts);
        start(maxAttempts);
        caller->write(CallPathFixture::post("u1", 2) + "hi");
        first = awaitArrival("u1");
        ASSERT_TRUE(first);
        first->write(refusal(GetParam(), "u1"));
        auto second = awaitArrival("u1", 2);
        ASSERT_TRUE(second);
        if (!first->closed)
            first->write(refusal(GetParam(), "u1"));
        settle();
        if (!second->closed)
            second->write(CallPathFixture::answer("u1", "ran to its end"));
        EXPECT_TRUE(awaitCaller("\r\n\r\n"));
        EXPECT_TRUE(caller->has("ran to its end")) << caller->received.substr(0, 60);
        EXPECT_EQ(arrivals("u1"), 2u) << "a request that the target runs was sent again";
    }
}

TEST_P(RefusalsCountForTheirOwnExchange, RepeatedAfterTheNextRequestWasSent)
{
    for (const char* id : { "u1", "" }) {
        SCOPED_TRACE(id);
        start(1);
        lateId = id;
        refuseFirst(refusal(GetParam(), "u1"));
        expectOwnAnswer();
    }
}

TEST_P(RefusalsCountForTheirOwnExchange, RepeatedInTheSameSegment)
{
    start(1);
    refuseFirst(refusal(GetParam(), "u1") + refusal(GetParam(), "u1"));
    expectOwnAnswer();
}

TEST_P(RefusalsCountForTheirOwnExchange, RepeatedWhileTheConnectionIsIdle)
{
    start(1);
    refuseFirst(refusal(GetParam(), "u1"));
    if (!first->closed)
        first->write(refusal(GetParam(), "u1"));
    settle();
    expectOwnAnswer();
}
