// Guards against a status that tells callers that a request has not run and may be sent again, although a target has or
// may have run it (review/11): it would run twice.

#include "platform/PlatformCallProtocol.h"
#include "tests/support/CallPathFixture.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using tests::CallPathFixture;
using tests::RawConnectionPtr;

namespace {

constexpr int RETRYABLE_STATUSES[] = { 408, 421, 429, 503 };

std::string statusLine(int status) { return "HTTP/1.1 " + std::to_string(status) + " "; }

// Parameter: the node with the target. The caller is at node 0.
class RetryableStatusesMeanNotRun : public testing::TestWithParam<int> {
protected:
    RetryableStatusesMeanNotRun()
        : fixture(options())
    {
    }

    static CallPathFixture::Options options()
    {
        CallPathFixture::Options out;
        out.targetsAt = { GetParam() };
        out.maxAttempts = 1;
        return out;
    }

    // Sends a request, lets the target answer with these bytes, and returns what the caller gets.
    std::string responseTo(const std::string& request, const std::string& id, const std::string& answer)
    {
        auto caller = fixture.connect(0);
        caller->write(request);
        RawConnectionPtr target;
        auto arrived = [&] {
            for (const auto& it : fixture.targetConnections(GetParam())) {
                if (it->has("X-Request-Id: " + id + "\r\n"))
                    target = it;
            }
            return target != nullptr;
        };
        EXPECT_TRUE(fixture.runUntil(arrived)) << id;
        if (!target)
            return {};
        target->write(answer);
        EXPECT_TRUE(fixture.runUntil([&] { return caller->has("\r\n\r\n"); })) << id;
        return caller->received;
    }

    CallPathFixture fixture;
};

}

TEST_P(RetryableStatusesMeanNotRun, FailureOfARequestThatHasRunHasNone)
{
    for (int status : { 408, 429, 503 }) {
        for (bool isIdempotent : { false, true }) {
            auto id = "r" + std::to_string(status) + (isIdempotent ? "a" : "o");
            auto request = isIdempotent ? CallPathFixture::get(id) : CallPathFixture::request(id, "/once/1", "list");
            auto got = responseTo(
                request, id, CallPathFixture::answer(id, "the store does not answer", status, "Retry-After: 1\r\n"));
            EXPECT_EQ(got.rfind(statusLine(502), 0), 0U) << id << ": " << got;
            EXPECT_EQ(got.find("X-Server-Stamp"), std::string::npos) << "the status is not that of the target";
            EXPECT_EQ(got.find("Retry-After"), std::string::npos);
            EXPECT_NE(got.find("X-Request-Id: " + id), std::string::npos);
            EXPECT_NE(got.find("status " + std::to_string(status)), std::string::npos) << "names the target's status";
        }
    }
}

TEST_P(RetryableStatusesMeanNotRun, OtherFailuresOfTheTargetReachTheCallerUnchanged)
{
    for (int status : { 404, 409, 500, 502, 504 }) {
        auto id = "r" + std::to_string(status);
        auto got = responseTo(
            CallPathFixture::request(id, "/once/1", "list"), id, CallPathFixture::answer(id, "bytes", status));
        EXPECT_EQ(got.rfind(statusLine(status), 0), 0U) << got;
        EXPECT_NE(got.find("X-Server-Stamp: stamp"), std::string::npos);
    }
}

TEST_P(RetryableStatusesMeanNotRun, RefusalOfTheTargetIsPassedOn)
{
    auto got = responseTo(CallPathFixture::request("full", "/once/1", "list"), "full",
        "HTTP/1.1 503 X\r\nX-Request-Id: full\r\nX-Not-Executed: full\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(got.rfind(statusLine(503), 0), 0U) << got;
}

TEST_P(RetryableStatusesMeanNotRun, StampedSuccessMarkedAsNotExecutedHasNone)
{
    auto got = responseTo(CallPathFixture::request("odd", "/once/1", "list"), "odd",
        CallPathFixture::answer("odd", "saved", 200, "X-Not-Executed: 1\r\n"));
    EXPECT_EQ(got.rfind(statusLine(502), 0), 0U) << got;
}

TEST_P(RetryableStatusesMeanNotRun, TheMarkOfATargetIsTakenAtItsWord)
{
    for (int status : { 200, 302, 400, 429, 500 }) {
        auto id = "r" + std::to_string(status);
        auto got = responseTo(CallPathFixture::request(id, "/once/1", "list"), id,
            "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Request-Id: " + id
                + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        EXPECT_EQ(got.rfind(statusLine(503), 0), 0U) << got;
    }
}

INSTANTIATE_TEST_SUITE_P(OnOneNodeAndOverTwo, RetryableStatusesMeanNotRun, testing::Values(0, 1));

// Answers of other nodes, stored ones, and those of this node: only a call that has not run may get such a status.
TEST(RetryableStatusesOfAnswers, DependOnTheOutcomeAlone)
{
    auto protocol = platform::makeCallProtocol();
    for (int status : RETRYABLE_STATUSES) {
        wire::CallAnswer answer;
        answer.status = status;
        for (auto outcome : { wire::Outcome::RAN, wire::Outcome::UNKNOWN }) {
            answer.outcome = outcome;
            EXPECT_EQ(protocol->makeCallerResponse(answer, {}, "v1").status, 502) << status;
        }
        answer.timedOut = true;
        EXPECT_EQ(protocol->makeCallerResponse(answer, {}, "v1").status, 504) << status;
        answer.outcome = wire::Outcome::NOT_RUN;
        EXPECT_EQ(protocol->makeCallerResponse(answer, {}, "v1").status, status);
    }
    wire::CallAnswer success;
    success.status = 200;
    success.outcome = wire::Outcome::NOT_RUN;
    EXPECT_EQ(protocol->makeCallerResponse(success, {}, "v1").status, 503) << "nothing has run";
    success.outcome = wire::Outcome::UNKNOWN;
    EXPECT_EQ(protocol->makeCallerResponse(success, {}, "v1").status, 502);
}
