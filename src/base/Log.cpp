#include "pomelowind/base/Log.h"

#include "pomelowind/base/Time.h"
#include "pomelowind/base/TokenBucket.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <future>
#include <iostream>
#include <memory>
#include <mutex>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <thread>

namespace pomelowind::base {

namespace {

    // About 2 MB of lines. A longer queue would only delay dropping lines when standard output is not being read.
    constexpr size_t MAX_QUEUED_LINES = 8192;
    // Enough to diagnose failures on a host with a few hundred calls per second, and a bound on the log volume when
    // many calls fail at once.
    constexpr double RATE_LIMITED_LINES_PER_SECOND = 100;
    constexpr double RATE_LIMITED_LINES_BURST = 300;

    // Well within the time that a supervisor leaves between the end of a stop and SIGKILL.
    constexpr auto FLUSH_TIMEOUT = std::chrono::milliseconds(500);

    constexpr unsigned char FIRST_PRINTABLE = 0x20;
    constexpr unsigned char DELETE = 0x7f;

    // Returns the length of the UTF-8 character at the start of `text`, or 0 if there is none.
    size_t characterLength(std::string_view text)
    {
        auto byte = [&](size_t i) { return static_cast<unsigned char>(text[i]); };
        unsigned char first = byte(0);
        size_t n = first < 0x80 ? 1 : first < 0xc2 ? 0 : first < 0xe0 ? 2 : first < 0xf0 ? 3 : first < 0xf5 ? 4 : 0;
        if (!n || n > text.size())
            return 0;
        for (size_t i = 1; i < n; ++i) {
            if ((byte(i) & 0xc0) != 0x80)
                return 0;
        }
        // Overlong forms, surrogates and values above U+10FFFF.
        bool isForbidden = (first == 0xe0 && byte(1) < 0xa0) || (first == 0xed && byte(1) > 0x9f)
            || (first == 0xf0 && byte(1) < 0x90) || (first == 0xf4 && byte(1) > 0x8f);
        return isForbidden ? 0 : n;
    }

    bool needsQuotes(std::string_view value)
    {
        return value.empty() || std::any_of(value.begin(), value.end(), [](char c) {
            auto byte = static_cast<unsigned char>(c);
            return byte <= FIRST_PRINTABLE || byte >= DELETE || c == '"' || c == '=' || c == '\\';
        });
    }

    void write(spdlog::level::level_enum level, std::string_view event, std::initializer_list<Field> fields)
    {
        // Null after stopLogging(). Threads that log while the process exits keep the logger that they have taken.
        auto logger = spdlog::default_logger();
        if (!logger || !logger->should_log(level))
            return;
        std::string line = "event=";
        line += event;
        for (const auto& field : fields) {
            line += ' ';
            line += field.key();
            line += '=';
            line += quoteForLog(field.value());
        }
        try {
            logger->log(level, line);
        } catch (const spdlog::spdlog_ex& e) {
            // The log writer has ended meanwhile.
            std::cerr << line << " (" << e.what() << ")" << std::endl;
        }
    }

}

std::string quoteForLog(std::string_view value)
{
    if (!needsQuotes(value))
        return std::string(value);
    std::string out = "\"";
    while (!value.empty()) {
        size_t n = characterLength(value);
        auto byte = static_cast<unsigned char>(value.front());
        if (!n || byte < FIRST_PRINTABLE || byte == DELETE) {
            char escaped[8];
            std::snprintf(escaped, sizeof escaped, "\\x%02x", byte);
            out += escaped;
            n = 1;
        } else {
            if (value.front() == '"' || value.front() == '\\')
                out += '\\';
            out += value.substr(0, n);
        }
        value.remove_prefix(n);
    }
    return out + '"';
}

void startLogging(const std::string& program, const std::string& level)
{
    spdlog::init_thread_pool(MAX_QUEUED_LINES, 1);
    auto logger = spdlog::async_factory_nonblock::create<spdlog::sinks::stdout_sink_mt>(program);
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%l program=%n %v");
    logger->set_level(spdlog::level::from_str(level));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(logger);
    spdlog::set_level(spdlog::level::from_str(level));
}

bool stopLogging()
{
    // The log writer waits for as long as nobody reads standard output, so it is joined on a thread of its own.
    auto isDone = std::make_shared<std::promise<void>>();
    auto future = isDone->get_future();
    std::thread([isDone] {
        spdlog::shutdown();
        isDone->set_value();
    }).detach();
    return future.wait_for(FLUSH_TIMEOUT) == std::future_status::ready;
}

void logRateLimited(std::string_view event, std::initializer_list<Field> fields)
{
    static std::mutex mutex;
    static TokenBucket bucket(RATE_LIMITED_LINES_PER_SECOND, RATE_LIMITED_LINES_BURST, SystemClock().now());
    static uint64_t suppressed = 0;
    uint64_t suppressedBefore = 0;
    {
        std::lock_guard lock(mutex);
        if (!bucket.tryTake(SystemClock().now())) {
            ++suppressed;
            return;
        }
        suppressedBefore = std::exchange(suppressed, 0);
    }
    if (suppressedBefore)
        logInfo("log.left_out", { { "lines", suppressedBefore } });
    logInfo(event, fields);
}

void logInfo(std::string_view event, std::initializer_list<Field> fields) { write(spdlog::level::info, event, fields); }
void logWarn(std::string_view event, std::initializer_list<Field> fields) { write(spdlog::level::warn, event, fields); }
void logError(std::string_view event, std::initializer_list<Field> fields) { write(spdlog::level::err, event, fields); }
void logDebug(std::string_view event, std::initializer_list<Field> fields)
{
    write(spdlog::level::debug, event, fields);
}

} // namespace pomelowind::base
