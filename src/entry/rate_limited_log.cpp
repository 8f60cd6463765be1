#include "src/entry/rate_limited_log.hpp"

#include <algorithm>

namespace tanagerlead::entry
{

namespace
{

/// Rate limit and burst of each category, in lines per second and lines.
constexpr double lines_per_second = 120;
constexpr double max_burst = 240;

} // namespace

log_line& log_line::with(char const* name, std::string const& value)
{
    text_.append(" ").append(name).append("=");
    // Escapes characters with which an external value could forge fields or
    // lines.
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

void rate_limited_log::write(log_category kind, log_line const& line,
                             base::time_point now)
{
    auto& bucket = token_buckets_.at(static_cast<std::size_t>(kind));
    auto const passed =
        bucket.used_ ? base::seconds(now - bucket.refilled_at_) : 0.0;
    bucket.tokens_ =
        bucket.used_
            ? std::min(max_burst, bucket.tokens_ + passed * lines_per_second)
            : max_burst;
    bucket.used_ = true;
    bucket.refilled_at_ = now;
    if (bucket.tokens_ < 1)
    {
        ++bucket.suppressed_;
        ++suppressed_;
        return;
    }
    bucket.tokens_ -= 1;
    if (bucket.suppressed_ > 0)
    {
        log_line gap{"Log lines suppressed by the rate limit."};
        gap.with("count", static_cast<std::int64_t>(bucket.suppressed_));
        bucket.suppressed_ = 0;
        log_.info(gap.text());
    }
    log_.info(line.text());
}

} // namespace tanagerlead::entry
