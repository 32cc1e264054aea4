// Tests how responses of the platform's targets map to outcomes of calls, and outcomes to responses for callers. Guards
// against reporting a call as not executed although it may have run: a caller would retry it and run it twice.

#include "platform/PlatformCallProtocol.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using http::ExchangeEnd;
using http::findHeader;
using wire::Outcome;

namespace {

http::ExchangeResult responseWith(int status, http::HttpHeaders headers)
{
    http::ExchangeResult out;
    out.end = ExchangeEnd::Answered;
    out.response.status = status;
    out.response.headers = std::move(headers);
    return out;
}

http::ExchangeResult exchangeWithEnd(ExchangeEnd end)
{
    http::ExchangeResult out;
    out.end = end;
    return out;
}

class TargetResponsesMapToOutcomes : public testing::Test {
protected:
    wire::CallAnswer decodeAnswer(http::ExchangeResult result)
    {
        return protocol->parseTargetResponse({}, std::move(result));
    }
    http::HttpResponse makeCallerResponse(const wire::CallAnswer& answer)
    {
        node::CallParameters parameters;
        parameters.requestId = "id-1";
        return protocol->makeCallerResponse(answer, parameters, "v1");
    }

    std::unique_ptr<node::CallProtocol> protocol = platform::makeCallProtocol();
};

}

TEST_F(TargetResponsesMapToOutcomes, NotRunRequiresProofFromTheTargetOrAnUnsentRequest)
{
    EXPECT_EQ(decodeAnswer(responseWith(503, { { "X-Not-Executed", "1" } })).outcome, Outcome::NOT_RUN);
    EXPECT_EQ(decodeAnswer(responseWith(421, {})).outcome, Outcome::NOT_RUN);
    EXPECT_EQ(decodeAnswer(responseWith(503, { { "X-Server-Stamp", "s" } })).outcome, Outcome::RAN);
    EXPECT_EQ(decodeAnswer(responseWith(200, { { "X-Server-Stamp", "s" } })).outcome, Outcome::RAN);
    EXPECT_EQ(decodeAnswer(responseWith(200, {})).outcome, Outcome::UNKNOWN)
        << "a success without a stamp does not prove execution";
    EXPECT_EQ(decodeAnswer(exchangeWithEnd(ExchangeEnd::Ambiguous)).outcome, Outcome::UNKNOWN);
    EXPECT_EQ(decodeAnswer(exchangeWithEnd(ExchangeEnd::TimedOut)).outcome, Outcome::UNKNOWN);
    EXPECT_EQ(decodeAnswer(exchangeWithEnd(ExchangeEnd::NotSent)).outcome, Outcome::NOT_RUN);
    EXPECT_FALSE(decodeAnswer(exchangeWithEnd(ExchangeEnd::NotSent)).arrived);
}

TEST_F(TargetResponsesMapToOutcomes, NoticeIsReadFromResponsesOfTheExpectedTargetOnly)
{
    using Notice = std::optional<targets::TargetNotice>;
    auto notice = [this](int status, http::HttpHeaders headers) {
        return protocol->parseTargetNotice(responseWith(status, std::move(headers)));
    };
    EXPECT_EQ(notice(200, { { "X-Server-Stamp", "s" } }), Notice(targets::TargetNotice()));
    EXPECT_EQ(notice(200, { { "X-Server-Stamp", "s" }, { "Server-Limit", "15.1" } }),
        Notice(targets::TargetNotice { 15.1, false }));
    EXPECT_EQ(notice(503, { { "X-Not-Executed", "1" }, { "Server-Limit", "0" }, { "Server-Leaving", "1" } }),
        Notice(targets::TargetNotice { 0.0, true }));
    EXPECT_EQ(notice(421, { { "Server-Limit", "15.1" } }), Notice()) << "another target answered";
    EXPECT_EQ(notice(503, { { "X-Not-Executed", "1" } }), Notice()) << "not certain that the target lifts its limit";
    for (const char* limit : { "-1", "nan", "inf", "1e999", "12x", "many" })
        EXPECT_EQ(notice(200, { { "X-Server-Stamp", "s" }, { "Server-Limit", limit } }), Notice()) << limit;
    EXPECT_EQ(protocol->parseTargetNotice(exchangeWithEnd(ExchangeEnd::TimedOut)), Notice());
}

TEST_F(TargetResponsesMapToOutcomes, CallerGets503OnlyIfTheCallDidNotRun)
{
    auto lost = decodeAnswer(exchangeWithEnd(ExchangeEnd::Ambiguous));
    EXPECT_EQ(makeCallerResponse(lost).status, 502);
    auto late = decodeAnswer(exchangeWithEnd(ExchangeEnd::TimedOut));
    EXPECT_EQ(makeCallerResponse(late).status, 504);
    auto refused = decodeAnswer(exchangeWithEnd(ExchangeEnd::NotSent));
    refused.retryAfterMs = 250;
    auto response = makeCallerResponse(refused);
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(findHeader(response.headers, "Retry-After"), "0.250");
    EXPECT_EQ(findHeader(response.headers, "X-Request-Id"), "id-1");
    EXPECT_TRUE(findHeader(response.headers, "X-Server-Stamp").empty());
}

TEST_F(TargetResponsesMapToOutcomes, TargetResponseIsForwardedWithoutHopByHopHeaders)
{
    auto result
        = responseWith(500, { { "X-Server-Stamp", "s" }, { "X-Request-Id", "id-1" }, { "Connection", "close" } });
    result.response.body = "bytes";
    auto response = makeCallerResponse(decodeAnswer(result));
    EXPECT_EQ(response.status, 500);
    EXPECT_EQ(response.body, "bytes");
    EXPECT_EQ(findHeader(response.headers, "X-Server-Stamp"), "s");
    EXPECT_TRUE(findHeader(response.headers, "Connection").empty());
}

TEST_F(TargetResponsesMapToOutcomes, NodeReplacesDeadlineInstanceAndCallerHeaders)
{
    http::HttpRequest request;
    request.headers = { { "Host", "a.example" }, { "X-Request-Id", "id-1" }, { "X-Deadline-Ms", "2000" },
        { "X-Caller-Service", "forged" }, { "X-Expect-Instance", "forged" }, { "Connection", "X-Hop" },
        { "X-Hop", "1" }, { "X-Own", "kept" } };
    EXPECT_EQ(protocol->parseCallParameters(request).budget, base::Millis(2000));
    wire::CallRequest call;
    call.headers = protocol->forwardedHeaders(request, 1, 1);
    call.target = "i-1";
    call.callerService = "desk";
    auto sent = protocol->makeTargetRequest(call, base::Millis(700)).headers;
    EXPECT_EQ(findHeader(sent, "X-Deadline-Ms"), "700");
    EXPECT_EQ(findHeader(sent, "X-Expect-Instance"), "i-1");
    EXPECT_EQ(findHeader(sent, "X-Caller-Service"), "desk");
    EXPECT_EQ(findHeader(sent, "X-Own"), "kept");
    EXPECT_TRUE(findHeader(sent, "X-Hop").empty());
}

TEST_F(TargetResponsesMapToOutcomes, NestedRequestIdContainsItsParentId)
{
    auto parentRequestId = [this](const std::string& id) {
        http::HttpRequest request;
        request.headers = { { "X-Request-Id", id } };
        return protocol->parseCallParameters(request).parentId;
    };
    EXPECT_EQ(parentRequestId("9366c6033c1c1083.47dafb867644814c"), "9366c6033c1c1083");
    EXPECT_EQ(parentRequestId("9366c6033c1c1083"), "");
    EXPECT_EQ(parentRequestId(""), "");
}
