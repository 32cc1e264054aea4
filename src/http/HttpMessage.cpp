#include "pomelowind/http/HttpMessage.h"

#include <algorithm>
#include <cctype>

namespace pomelowind::http {

namespace {

    constexpr int MIN_STATUS_CODE = 100;
    constexpr int MAX_STATUS_CODE = 599;
    constexpr std::string_view TOKEN_CHARACTERS
        = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";

    bool isControlByte(char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; }

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

bool isFieldName(std::string_view name)
{
    return !name.empty() && name.find_first_not_of(TOKEN_CHARACTERS) == std::string_view::npos;
}

bool isFieldValue(std::string_view value)
{
    return std::none_of(value.begin(), value.end(), [](char c) { return isControlByte(c) && c != '\t'; });
}

} // namespace pomelowind::http
