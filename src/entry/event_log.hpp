#pragma once

#include "src/base/log.hpp"
#include "src/base/units.hpp"

#include <array>
#include <cstdint>
#include <string>

namespace tanagerlead::entry
{

/// One line of the log: a short sentence and fields.
class log_line
{
public:
    explicit log_line(std::string sentence) : text_{std::move(sentence)} {}

    log_line& with(char const* name, std::string const& value);
    log_line& with(char const* name, std::int64_t value);
    log_line& with_ms(char const* name, base::duration value);
    std::string const& text() const { return text_; }

private:
    std::string text_;
};

/// Kinds of lines that load multiplies; each has a rate of its own.
enum class line_kind : std::uint8_t
{
    request,
    attempt,
    bad_input,
    target,
    control,
};

/// The log of one part. Lines of one kind over their rate are left out and
/// counted; the next line that is written tells how many.
class event_log
{
public:
    explicit event_log(std::string part) : log_{std::move(part)} {}

    void write(line_kind kind, log_line const& line, base::time_point now);
    std::uint64_t left_out() const { return left_out_; }

private:
    struct budget
    {
        double lines_ = 0;
        base::time_point filled_{};
        std::uint64_t left_out_ = 0;
        bool used_ = false;
    };

    base::log log_;
    std::array<budget, 5> budgets_{};
    std::uint64_t left_out_ = 0;
};

} // namespace tanagerlead::entry
