#include "CallHeaders.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace pomelowind::node {

namespace {

    constexpr std::array<std::string_view, 13> NOT_FORWARDED = { "Connection", "Keep-Alive", "Proxy-Authenticate",
        "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
        DEADLINE_HEADER, RETRIES_HEADER, DEPTH_HEADER };
    constexpr int FIRST_FINAL_STATUS = 200;

}

std::vector<wire::Header> endToEndHeaders(const http::HttpHeaders& headers)
{
    std::vector<wire::Header> out;
    for (const auto& it : headers) {
        bool isExcluded = std::any_of(NOT_FORWARDED.begin(), NOT_FORWARDED.end(),
            [&](std::string_view name) { return http::equalNames(name, it.name); });
        if (isExcluded)
            continue;
        wire::Header header;
        header.name = it.name;
        header.value = it.value;
        out.push_back(std::move(header));
    }
    return out;
}

bool isWellFormed(const wire::CallAnswer& answer)
{
    bool hasRun = answer.outcome == wire::Outcome::RAN;
    bool isOutcome = hasRun || answer.outcome == wire::Outcome::NOT_RUN || answer.outcome == wire::Outcome::UNKNOWN;
    bool hasStatus = answer.status >= FIRST_FINAL_STATUS && http::isStatusCode(answer.status);
    return isOutcome && (hasStatus || (!hasRun && !answer.status))
        && std::all_of(answer.headers.begin(), answer.headers.end(),
            [](const auto& it) { return http::isFieldName(it.name) && http::isFieldValue(it.value); });
}

const char* outcomeText(wire::Outcome::type outcome)
{
    switch (outcome) {
    case wire::Outcome::RAN:
        return "ran";
    case wire::Outcome::NOT_RUN:
        return NOT_RUN;
    case wire::Outcome::UNKNOWN:
        return "unknown";
    }
    return "unknown";
}

int64_t integerHeader(const http::HttpHeaders& headers, std::string_view name, int64_t fallback)
{
    auto text = http::findHeader(headers, name);
    int64_t n = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    return text.empty() || ec != std::errc() || end != text.data() + text.size() ? fallback : n;
}

} // namespace pomelowind::node
