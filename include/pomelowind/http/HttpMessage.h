// HTTP requests and responses as plain values, so that the rest of the system does not depend on Beast.
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

// Value of the first header called `name`, compared without regard to case; empty when absent. Thread safety: pure.
std::string_view findHeader(const HttpHeaders& headers, std::string_view name);
// True when both names are equal without regard to case. Thread safety: pure.
bool equalNames(std::string_view a, std::string_view b);

// A whole request. `path` contains the query.
struct HttpRequest {
    std::string method;
    std::string path;
    HttpHeaders headers;
    std::string body;
    std::shared_ptr<const std::string> sharedBody; // sent in place of `body` when set; for bodies that others hold too
    bool operator==(const HttpRequest&) const = default;
};

// A whole response.
struct HttpResponse {
    int status { 200 };
    HttpHeaders headers;
    std::string body;
    bool operator==(const HttpResponse&) const = default;
};

} // namespace pomelowind::http
