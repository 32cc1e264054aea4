// Reads JSON from outside and writes JSON that always is valid. Flow: request body -> parseJson() -> decoder of the
// protocol; answer -> jsonText() -> response body.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace pomelowind::base {

// Returns the parsed document. Refuses documents that would take much more memory or stack than their own size. Throws
// UserError(InvalidInput). Thread safety: pure.
nlohmann::json parseJson(std::string_view text);

// Returns `value` as JSON text, in which U+FFFD replaces bytes that are not UTF-8. Never throws because of the content
// of strings. Thread safety: pure.
std::string jsonText(const nlohmann::json& value);

} // namespace pomelowind::base
