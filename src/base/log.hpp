#pragma once

#include "src/base/error.hpp"

#include <string>

/// Logging through log4cplus: short sentences, one fixed prefix a part.
/// Keys and prompts never go into a log line.
namespace tanagerlead::base
{

enum class log_level
{
    debug,
    info,
    warning,
    error,
};

enum class log_layout
{
    text,
    /// One JSON object a line.
    json_lines,
};

enum class log_output
{
    /// Each line at once.
    standard_error,
    /// In batches, and never waiting for the reader: lines may be left out,
    /// which a later line tells. `flush_log` is to be called now and then.
    standard_output,
};

struct log_settings
{
    log_level level_ = log_level::info;
    log_layout layout_ = log_layout::text;
    log_output output_ = log_output::standard_error;
};

/// Called once, before any thread starts.
void start_logging(log_settings const& settings);

/// Writes what waits for standard output. Any thread.
void flush_log();

/// The log of one part, for example "sched".
class log
{
public:
    explicit log(std::string part);

    void debug(std::string const& sentence) const;
    void info(std::string const& sentence) const;
    void warning(std::string const& sentence) const;
    void error(std::string const& sentence) const;

private:
    void write(log_level level, std::string const& sentence) const;

    std::string part_;
};

} // namespace tanagerlead::base
