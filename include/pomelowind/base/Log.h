// Log lines: one line of key=value pairs for each event, written through spdlog to standard output. Writing never
// blocks the caller: a thread of its own writes, and when it does not keep up the oldest lines are dropped.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace pomelowind::base {

// One key=value pair of a log line.
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

// Sets up the process's logger. `level` is one of debug, info, warn, error.
void startLogging(const std::string& program, const std::string& level);
// Writes what is queued; the last thing that a process does.
void stopLogging();

// Writes one line, for example: event=node.started id=eun-a-1. Thread safety: any thread.
void logInfo(std::string_view event, std::initializer_list<Field> fields = {});
void logWarn(std::string_view event, std::initializer_list<Field> fields = {});
void logError(std::string_view event, std::initializer_list<Field> fields = {});
// For events that every call may cause: beyond a rate per second lines are left out, and the next one written says how
// many. Thread safety: any thread.
void logBounded(std::string_view event, std::initializer_list<Field> fields = {});
void logDebug(std::string_view event, std::initializer_list<Field> fields = {});

} // namespace pomelowind::base
