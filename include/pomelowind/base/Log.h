// Structured logging: one line of key=value pairs for each event, written to standard output through spdlog. Logging
// never blocks the caller: a background thread writes the lines, and when it falls behind the oldest queued lines are
// dropped.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace pomelowind::base {

// One key=value pair of a log line. The key is not copied and must outlive the field.
class Field {
public:
    Field(std::string_view key, std::string_view value)
        : m_key(key)
        , m_value(value)
    {
    }
    Field(std::string_view key, const char* value)
        : Field(key, std::string_view(value))
    {
    }
    template <class N>
    requires std::is_arithmetic_v<N> Field(std::string_view key, N value)
        : m_key(key)
        , m_value(std::to_string(value))
    {
    }

    std::string_view key() const { return m_key; }
    const std::string& value() const { return m_value; }

private:
    std::string_view m_key;
    std::string m_value;
};

// Returns `value` as it appears behind "key=": in quotes if needed, and with control characters and bytes that are not
// UTF-8 as \xNN, so that a value from outside can neither end its line nor forge another field. Thread safety: pure.
std::string quoteForLog(std::string_view value);

// Sets up the process's logger. `program` is written on each line; `level` is one of debug, info, warn, error.
// Precondition: called once, before other threads log.
void startLogging(const std::string& program, const std::string& level);
// Writes the queued lines and stops the logger. Lines that are logged afterwards are dropped. Returns false if the
// lines could not be written in time, because nobody reads standard output. Thread safety: any thread.
bool stopLogging();

// logDebug(), logInfo(), logWarn() and logError() write one event at that level, for example:
// event=node.started id=eun-a-1. Thread safety: any thread.
void logInfo(std::string_view event, std::initializer_list<Field> fields = {});
void logWarn(std::string_view event, std::initializer_list<Field> fields = {});
void logError(std::string_view event, std::initializer_list<Field> fields = {});
// Logs at info level with a rate limit shared by the whole process, for events that any call may cause. Lines above the
// limit are suppressed; the next line that is written is preceded by a log.left_out event with their number.
// Thread safety: any thread.
void logRateLimited(std::string_view event, std::initializer_list<Field> fields = {});
void logDebug(std::string_view event, std::initializer_list<Field> fields = {});

} // namespace pomelowind::base
