#include "pomelowind/base/Json.h"

#include "pomelowind/base/Errors.h"

namespace pomelowind::base {

namespace {

    using nlohmann::json;

    // No document of any protocol here is nested deeper than about ten levels.
    constexpr size_t MAX_NESTING = 64;
    // Each value takes some 50 to 100 bytes of memory once it is parsed, however short its text is.
    constexpr size_t MAX_VALUES = 500000;

    [[noreturn]] void throwInvalid(const std::string& problem)
    {
        throw UserError(ErrorKind::InvalidInput, "not a readable JSON document: " + problem,
            "send one complete JSON document in UTF-8");
    }

    // Counts brackets and commas outside strings before anything is allocated for them.
    void checkSize(std::string_view text)
    {
        size_t nesting = 0;
        size_t values = 1;
        bool inString = false;
        for (size_t i = 0; i < text.size(); ++i) {
            char c = text[i];
            if (inString && c == '\\')
                ++i;
            else if (c == '"')
                inString = !inString;
            else if (inString)
                continue;
            else if (c == '[' || c == '{')
                ++nesting, ++values;
            else if (c == ']' || c == '}')
                nesting -= nesting ? 1 : 0;
            else if (c == ',')
                ++values;
            if (nesting > MAX_NESTING)
                throwInvalid("nested deeper than " + std::to_string(MAX_NESTING) + " levels");
            if (values > MAX_VALUES)
                throwInvalid("more than " + std::to_string(MAX_VALUES) + " values");
        }
    }

}

json parseJson(std::string_view text)
{
    checkSize(text);
    try {
        return json::parse(text);
    } catch (const json::parse_error& e) {
        // The library's message repeats the text before the error, which may contain secrets.
        throwInvalid("syntax error at byte " + std::to_string(e.byte));
    } catch (const json::exception&) {
        throwInvalid("a number is out of range");
    }
}

std::string jsonText(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

} // namespace pomelowind::base
