#include "pomelowind/base/Log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace pomelowind::base {

namespace {

    bool needsQuotes(std::string_view value) { return value.empty() || value.find_first_of(" \"=\n\t") != value.npos; }

    void appendValue(std::string& line, std::string_view value)
    {
        if (!needsQuotes(value)) {
            line += value;
            return;
        }
        line += '"';
        for (char c : value) {
            if (c == '"' || c == '\\')
                line += '\\';
            line += c == '\n' ? ' ' : c;
        }
        line += '"';
    }

    void write(spdlog::level::level_enum level, std::string_view event, std::initializer_list<Field> fields)
    {
        if (!spdlog::should_log(level))
            return;
        std::string line = "event=";
        line += event;
        for (const auto& field : fields) {
            line += ' ';
            line += field.key();
            line += '=';
            appendValue(line, field.value());
        }
        spdlog::log(level, line);
    }

}

void startLogging(const std::string& program, const std::string& level)
{
    auto logger = spdlog::stderr_logger_mt(program);
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%l program=%n %v");
    logger->set_level(spdlog::level::from_str(level));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(logger);
    spdlog::set_level(spdlog::level::from_str(level));
}

void logInfo(std::string_view event, std::initializer_list<Field> fields) { write(spdlog::level::info, event, fields); }
void logWarn(std::string_view event, std::initializer_list<Field> fields) { write(spdlog::level::warn, event, fields); }
void logError(std::string_view event, std::initializer_list<Field> fields) { write(spdlog::level::err, event, fields); }
void logDebug(std::string_view event, std::initializer_list<Field> fields)
{
    write(spdlog::level::debug, event, fields);
}

} // namespace pomelowind::base
