// Guards against a target that speaks the product's own protocol and asks for fewer calls in vain.

#include "pomelowind/node/CallProtocol.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using Notice = std::optional<targets::TargetNotice>;

namespace {

Notice noticeOf(http::HttpHeaders headers, http::ExchangeEnd end = http::ExchangeEnd::Answered)
{
    http::ExchangeResult result;
    result.end = end;
    result.response.status = 200;
    result.response.headers = std::move(headers);
    return node::makeProductCallProtocol()->parseTargetNotice(result);
}

}

TEST(ProductTargetsNoticesAreRead, RateAndDepartureAreReadAndSilenceLiftsTheRate)
{
    EXPECT_EQ(noticeOf({ { "X-Pomelowind-Max-Rate", "7.5" } }), Notice(targets::TargetNotice { 7.5, false }));
    EXPECT_EQ(noticeOf({ { "X-Pomelowind-Leaving", "1" } }), Notice(targets::TargetNotice { {}, true }));
    EXPECT_EQ(noticeOf({}), Notice(targets::TargetNotice()));
}

TEST(ProductTargetsNoticesAreRead, ResponseThatMayLackItsNoticeChangesNothing)
{
    EXPECT_EQ(noticeOf({ { "X-Pomelowind-Max-Rate", "some" } }), Notice());
    EXPECT_EQ(noticeOf({ { "X-Pomelowind-Outcome", "not-run" } }), Notice()) << "the target shed the call";
    EXPECT_EQ(noticeOf({}, http::ExchangeEnd::TimedOut), Notice());
}
