#include "pomelowind/http/HttpMessage.h"

#include <algorithm>
#include <cctype>

namespace pomelowind::http {

namespace {

    constexpr int MIN_STATUS_CODE = 100;
    constexpr int MAX_STATUS_CODE = 599;

}

bool equalNames(std::string_view a, std::string_view b)
{
    auto lower = [](char c) { return std::tolower(static_cast<unsigned char>(c)); };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [&](char x, char y) { return lower(x) == lower(y); });
}

std::string_view findHeader(const HttpHeaders& headers, std::string_view name)
{
    for (const auto& it : headers) {
        if (equalNames(it.name, name))
            return it.value;
    }
    return {};
}

bool isStatusCode(int status) { return status >= MIN_STATUS_CODE && status <= MAX_STATUS_CODE; }

} // namespace pomelowind::http
