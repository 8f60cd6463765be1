#pragma once

#include "src/base/log.hpp"
#include "src/base/units.hpp"

#include <array>
#include <cstdint>
#include <string>

namespace tanagerlead::entry
{

/// A log line: a short message followed by fields.
class log_line
{
public:
    explicit log_line(std::string message) : text_{std::move(message)} {}

    log_line& with(char const* name, std::string const& value);
    log_line& with(char const* name, std::int64_t value);
    log_line& with_ms(char const* name, base::duration value);
    std::string const& text() const { return text_; }

private:
    std::string text_;
};

/// Categories of log lines whose number grows with load; each has its own rate
/// limit.
enum class log_category : std::uint8_t
{
    request,
    attempt,
    bad_input,
    target,
    control_plane,
};

/// The log of one component. Lines over the rate limit of their category are
/// suppressed and counted; the count is logged before the next line of that
/// category.
class rate_limited_log
{
public:
    explicit rate_limited_log(std::string part) : log_{std::move(part)} {}

    void write(log_category kind, log_line const& line, base::time_point now);
    std::uint64_t suppressed_count() const { return suppressed_; }

private:
    struct token_bucket
    {
        double tokens_ = 0;
        base::time_point refilled_at_{};
        std::uint64_t suppressed_ = 0;
        bool used_ = false;
    };

    base::log log_;
    std::array<token_bucket, 5> token_buckets_{};
    std::uint64_t suppressed_ = 0;
};

} // namespace tanagerlead::entry
