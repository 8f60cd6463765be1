#include "src/http/target_probe.hpp"

#include "src/external/http_client.hpp"

#include <boost/outcome/try.hpp>

#include <charconv>
#include <cmath>
#include <optional>

namespace tanagerlead::http
{

namespace
{

constexpr int status_ok = 200;
constexpr external::http_timeouts probe_timeouts{std::chrono::milliseconds{500},
                                                 std::chrono::seconds{1}};
/// Larger counts are taken for nonsense.
constexpr double most_requests = 1e6;

/// Value of a line that is of the series `name`.
std::optional<double> value_of(std::string_view line, std::string_view name)
{
    if (!line.starts_with(name))
    {
        return std::nullopt;
    }
    line.remove_prefix(name.size());
    if (line.starts_with('{'))
    {
        auto const end = line.find('}');
        line.remove_prefix(end == std::string_view::npos ? line.size()
                                                         : end + 1);
    }
    if (!line.starts_with(' '))
    {
        return std::nullopt;
    }
    line.remove_prefix(1);
    double value = 0;
    auto const [stop, error] =
        std::from_chars(line.data(), line.data() + line.size(), value);
    if (error != std::errc{} || !(value >= 0 && value <= most_requests))
    {
        return std::nullopt;
    }
    return value;
}

std::optional<std::int32_t> sum_of(std::string_view text, std::string_view name)
{
    std::optional<double> sum;
    while (!text.empty())
    {
        auto const end = text.find('\n');
        auto const line = text.substr(0, end);
        if (auto const value = value_of(line, name))
        {
            sum = std::min(sum.value_or(0) + *value, most_requests);
        }
        text.remove_prefix(end == std::string_view::npos ? text.size()
                                                         : end + 1);
    }
    if (!sum)
    {
        return std::nullopt;
    }
    return static_cast<std::int32_t>(std::lround(*sum));
}

} // namespace

base::result<sched::target_load> parse_load(base::target_id const& target,
                                            std::string_view text)
{
    auto const running = sum_of(text, "vllm:num_requests_running");
    auto const waiting = sum_of(text, "vllm:num_requests_waiting");
    if (!running || !waiting)
    {
        return base::fail(base::error_code::corrupt, "read load", target.str(),
                          "a series is missing");
    }
    return sched::target_load{target, *running, *waiting, {}};
}

base::result<sched::target_load> read_load(config::target_config const& target)
{
    BOOST_OUTCOME_TRY(
        auto const answer,
        external::get(target.address_, "/metrics", probe_timeouts));
    if (answer.status_ != status_ok)
    {
        return base::fail(base::error_code::unavailable, "read load",
                          target.address_.str(),
                          "status " + std::to_string(answer.status_));
    }
    return parse_load(target.id_, answer.body_);
}

bool probe_health(base::address const& target)
{
    auto const answer = external::get(target, "/health", probe_timeouts);
    return answer && answer.value().status_ == status_ok;
}

} // namespace tanagerlead::http
