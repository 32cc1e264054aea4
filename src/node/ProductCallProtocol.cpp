#include "CallHeaders.h"

#include "pomelowind/base/Json.h"
#include "pomelowind/node/CallProtocol.h"

#include <algorithm>

namespace pomelowind::node {

using http::ExchangeEnd;
using wire::Outcome;

namespace {

    constexpr int STATUS_UNAVAILABLE = 503;
    constexpr int STATUS_TIMEOUT = 504;
    constexpr int MIN_ERROR_STATUS = 400;
    // Longer than any timeout of a route, and safe to add to a time.
    constexpr int64_t MAX_BUDGET_MS = 24 * 3600 * 1000;

    wire::Header header(const std::string& name, const std::string& value)
    {
        wire::Header out;
        out.name = name;
        out.value = value;
        return out;
    }

    std::string retryAfterSeconds(int64_t ms) { return std::to_string(std::max<int64_t>(1, (ms + 999) / 1000)); }

    class ProductCallProtocol final : public CallProtocol {
    public:
        CallParameters parseCallParameters(const http::HttpRequest& request) const override
        {
            CallParameters out;
            int64_t budget = integerHeader(request.headers, DEADLINE_HEADER, -1);
            if (budget >= 0)
                out.budget = base::Millis(std::min(budget, MAX_BUDGET_MS));
            int64_t retries = integerHeader(request.headers, RETRIES_HEADER, -1);
            if (retries >= 0)
                out.retriesLeft = retries;
            out.depth = integerHeader(request.headers, DEPTH_HEADER, 0);
            return out;
        }

        std::string_view parseKey(const http::HttpRequest& request) const override
        {
            return keyOfScheme(http::findHeader(request.headers, AUTHORIZATION_HEADER), BEARER_SCHEME);
        }

        void removeAccountHeaders(http::HttpHeaders& headers) const override
        {
            std::erase_if(headers, [](const http::HttpHeader& it) {
                return http::equalNames(it.name, AUTHORIZATION_HEADER) || http::equalNames(it.name, ACCOUNT_HEADER);
            });
        }

        std::vector<wire::Header> forwardedHeaders(
            const http::HttpRequest& request, int64_t retriesLeft, int64_t depth) const override
        {
            auto out = endToEndHeaders(request.headers);
            out.push_back(header(RETRIES_HEADER, std::to_string(retriesLeft)));
            out.push_back(header(DEPTH_HEADER, std::to_string(depth)));
            return out;
        }

        http::HttpRequest makeTargetRequest(const wire::CallRequest& request, base::Millis left) const override
        {
            http::HttpRequest out;
            out.method = request.method;
            out.path = request.path;
            for (const auto& it : request.headers)
                out.headers.push_back({ it.name, it.value });
            out.headers.push_back({ DEADLINE_HEADER, std::to_string(left.count()) });
            if (!request.clientAccount.empty())
                out.headers.push_back({ ACCOUNT_HEADER, request.clientAccount });
            return out;
        }

        wire::CallAnswer parseTargetResponse(const wire::CallRequest&, http::ExchangeResult result) const override
        {
            wire::CallAnswer out;
            out.arrived = result.end != ExchangeEnd::NotSent;
            switch (result.end) {
            case ExchangeEnd::Answered:
                break;
            case ExchangeEnd::NotSent:
                out.outcome = Outcome::NOT_RUN;
                out.reason = "the target cannot be reached: " + result.error;
                out.fault = true;
                return out;
            case ExchangeEnd::Ambiguous:
            case ExchangeEnd::TimedOut:
            case ExchangeEnd::Cancelled:
                out.outcome = Outcome::UNKNOWN;
                out.reason = "the target did not answer: " + result.error;
                out.fault = true;
                return out;
            }
            // Once a request has reached the target, only the target can tell that it did not run.
            bool shed = http::findHeader(result.response.headers, OUTCOME_HEADER) == NOT_RUN;
            out.outcome = shed ? Outcome::NOT_RUN : Outcome::RAN;
            out.reason = shed ? "the target had no room" : "";
            out.status = result.response.status;
            out.fault = out.status == STATUS_UNAVAILABLE;
            out.headers = endToEndHeaders(result.response.headers);
            out.body = std::move(result.response.body);
            return out;
        }

        std::optional<targets::TargetNotice> parseTargetNotice(const http::ExchangeResult& result) const override
        {
            if (result.end != ExchangeEnd::Answered)
                return std::nullopt;
            const auto& headers = result.response.headers;
            bool isShed = http::findHeader(headers, OUTCOME_HEADER) == NOT_RUN;
            bool isLeaving = http::findHeader(headers, LEAVING_HEADER) == "1";
            return targets::readNotice(http::findHeader(headers, MAX_RATE_HEADER), isLeaving, !isShed);
        }

        http::HttpResponse makeCallerResponse(
            const wire::CallAnswer& answer, const CallParameters&, const std::string& version) const override
        {
            http::HttpResponse response;
            response.status = answer.status;
            for (const auto& it : answer.headers) {
                if (!http::equalNames(it.name, OUTCOME_HEADER))
                    response.headers.push_back({ it.name, it.value });
            }
            response.body = answer.body;
            if (!response.status || (answer.outcome == Outcome::UNKNOWN && response.status < MIN_ERROR_STATUS)) {
                bool notRun = answer.outcome == Outcome::NOT_RUN;
                response.status = notRun ? STATUS_UNAVAILABLE : STATUS_TIMEOUT;
                response.headers = { { "Content-Type", "application/json" } };
                const char* remedy
                    = notRun ? "send it again" : "send it again if it is idempotent or carries an Idempotency-Key";
                response.body = errorBody(notRun ? "unavailable" : "timeout", answer.reason, remedy);
            }
            if (answer.outcome == Outcome::NOT_RUN && response.status == STATUS_UNAUTHORIZED)
                response.headers.push_back({ "WWW-Authenticate", BEARER_SCHEME });
            if (answer.outcome == Outcome::NOT_RUN
                && (response.status == STATUS_UNAVAILABLE || response.status == STATUS_TOO_MANY_REQUESTS))
                response.headers.push_back({ "Retry-After", retryAfterSeconds(answer.retryAfterMs) });
            response.headers.push_back({ OUTCOME_HEADER, outcomeText(answer.outcome) });
            if (!version.empty() && answer.outcome == Outcome::RAN)
                response.headers.push_back({ VERSION_HEADER, version });
            return response;
        }

        std::string echoHeader() const override { return {}; }
        http::HttpHeader refusalMark() const override { return { OUTCOME_HEADER, NOT_RUN }; }
    };

}

std::string_view keyOfScheme(std::string_view authorization, std::string_view scheme)
{
    auto space = authorization.find(' ');
    if (space == std::string_view::npos || !http::equalNames(authorization.substr(0, space), scheme))
        return {};
    auto key = authorization.substr(space);
    key.remove_prefix(std::min(key.find_first_not_of(" \t"), key.size()));
    return key.substr(0, key.find_last_not_of(" \t") + 1);
}

std::string errorBody(const std::string& error, const std::string& message, const std::string& remedy)
{
    return base::jsonText({ { "error", error }, { "message", message }, { "remedy", remedy } });
}

std::unique_ptr<CallProtocol> makeProductCallProtocol() { return std::make_unique<ProductCallProtocol>(); }

} // namespace pomelowind::node
