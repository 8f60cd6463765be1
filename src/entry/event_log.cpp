#include "src/entry/event_log.hpp"

#include <algorithm>

namespace tanagerlead::entry
{

namespace
{

/// Lines a second of one kind, and those that may come at once.
constexpr double lines_per_second = 120;
constexpr double most_at_once = 240;

} // namespace

log_line& log_line::with(char const* name, std::string const& value)
{
    text_.append(" ").append(name).append("=");
    // A value from outside must not look like further fields or lines.
    for (auto const c : value)
    {
        auto const plain = c > ' ' && c != '=' && c != '"' && c < 127;
        text_.push_back(plain ? c : '_');
    }
    return *this;
}

log_line& log_line::with(char const* name, std::int64_t value)
{
    text_.append(" ").append(name).append("=").append(std::to_string(value));
    return *this;
}

log_line& log_line::with_ms(char const* name, base::duration value)
{
    return with(name, static_cast<std::int64_t>(base::milliseconds(value)));
}

void event_log::write(line_kind kind, log_line const& line,
                      base::time_point now)
{
    auto& b = budgets_.at(static_cast<std::size_t>(kind));
    auto const passed = b.used_ ? base::seconds(now - b.filled_) : 0.0;
    b.lines_ =
        b.used_ ? std::min(most_at_once, b.lines_ + passed * lines_per_second)
                : most_at_once;
    b.used_ = true;
    b.filled_ = now;
    if (b.lines_ < 1)
    {
        ++b.left_out_;
        ++left_out_;
        return;
    }
    b.lines_ -= 1;
    if (b.left_out_ > 0)
    {
        log_line gap{"Lines were left out."};
        gap.with("count", static_cast<std::int64_t>(b.left_out_));
        b.left_out_ = 0;
        log_.info(gap.text());
    }
    log_.info(line.text());
}

} // namespace tanagerlead::entry
