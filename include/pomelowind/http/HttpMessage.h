// HTTP requests and responses as plain values, which keep Boost.Beast out of the interfaces of the other components.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace pomelowind::http {

// One header field.
struct HttpHeader {
    std::string name;
    std::string value;
    bool operator==(const HttpHeader&) const = default;
};

using HttpHeaders = std::vector<HttpHeader>;

// Returns the value of the first header with this name, ignoring case, or an empty view. Thread safety: pure.
std::string_view findHeader(const HttpHeaders& headers, std::string_view name);
// Returns whether two header names are equal, ignoring case. Thread safety: pure.
bool equalNames(std::string_view a, std::string_view b);
// Returns whether `status` lies in the range of status codes, 100 to 599. Thread safety: pure.
bool isStatusCode(int status);
// Returns whether HTTP allows `name` as the name of a header field. Thread safety: pure.
bool isFieldName(std::string_view name);
// Returns whether HTTP allows `value` as the value of a header field: no control byte but tabs. Thread safety: pure.
bool isFieldValue(std::string_view value);

// A complete request. `path` includes the query string.
struct HttpRequest {
    std::string method;
    std::string path;
    HttpHeaders headers;
    std::string body;
    std::shared_ptr<const std::string> sharedBody; // if set, sent instead of `body`; shares a body without copying
    bool operator==(const HttpRequest&) const = default;
};

// A complete response.
struct HttpResponse {
    int status { 200 };
    HttpHeaders headers;
    std::string body;
    bool operator==(const HttpResponse&) const = default;
};

} // namespace pomelowind::http
