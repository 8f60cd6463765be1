#include "src/base/log.hpp"

#include "src/base/pipe_appender.hpp"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

namespace tanagerlead::base
{

namespace
{

/// Writes each event as one JSON object.
class json_layout final : public log4cplus::Layout
{
public:
    void formatAndAppend( // NOLINT(readability-identifier-naming)
        log4cplus::tostream& output,
        log4cplus::spi::InternalLoggingEvent const& event) override
    {
        nlohmann::json line;
        line["time"] = log4cplus::helpers::getFormattedTime(
            "%Y-%m-%dT%H:%M:%S.%qZ", event.getTimestamp(), true);
        line["level"] = llmCache.toString(event.getLogLevel());
        line["part"] = event.getLoggerName();
        line["message"] = event.getMessage();
        output << line.dump(-1, ' ', false,
                            nlohmann::json::error_handler_t::replace)
               << '\n';
    }
};

log4cplus::LogLevel native(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

std::unique_ptr<log4cplus::Layout> make_layout(log_layout layout)
{
    if (layout == log_layout::json_lines)
    {
        return std::make_unique<json_layout>();
    }
    return std::make_unique<log4cplus::PatternLayout>(
        "%d{%H:%M:%S.%q} %-5p %c: %m%n");
}

/// Null unless logs go to standard output.
log4cplus::helpers::SharedObjectPtr<pipe_appender>& output_appender()
{
    static log4cplus::helpers::SharedObjectPtr<pipe_appender> appender;
    return appender;
}

log4cplus::SharedAppenderPtr make_appender(log_output output)
{
    if (output == log_output::standard_output)
    {
        output_appender() = new pipe_appender{STDOUT_FILENO};
        return log4cplus::SharedAppenderPtr{output_appender().get()};
    }
    constexpr bool log_to_stderr = true;
    constexpr bool flush_each_line = true;
    return log4cplus::SharedAppenderPtr{
        new log4cplus::ConsoleAppender{log_to_stderr, flush_each_line}};
}

} // namespace

void start_logging(log_settings const& settings)
{
    // Lives until the process exits; all threads that log have ended by then.
    static log4cplus::Initializer const initializer;
    auto appender = make_appender(settings.output_);
    appender->setLayout(make_layout(settings.layout_));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(native(settings.level_));
}

void flush_log()
{
    auto const appender = output_appender();
    if (appender)
    {
        // As for `append`, which loggers call under this lock.
        log4cplus::thread::MutexGuard const guard{appender->access_mutex};
        appender->flush();
    }
}

log::log(std::string part) : part_{std::move(part)}
{
}

void log::write(log_level level, std::string const& sentence) const
{
    auto const logger = log4cplus::Logger::getInstance(part_);
    logger.log(native(level), sentence);
}

void log::debug(std::string const& sentence) const
{
    write(log_level::debug, sentence);
}

void log::info(std::string const& sentence) const
{
    write(log_level::info, sentence);
}

void log::warning(std::string const& sentence) const
{
    write(log_level::warning, sentence);
}

void log::error(std::string const& sentence) const
{
    write(log_level::error, sentence);
}

} // namespace tanagerlead::base
