#include "src/http/caller_options.hpp"

#include <boost/outcome/try.hpp>

#include <algorithm>
#include <charconv>

namespace tanagerlead::http
{

namespace
{

constexpr std::size_t most_key_bytes = 255;
/// Longer deadlines are no use, and would overflow times further on.
constexpr std::int64_t most_deadline_ms = 86'400'000;

auto invalid(std::string detail)
{
    return base::fail(base::error_code::invalid_argument, "read headers", {},
                      std::move(detail));
}

template <class Number>
std::optional<Number> parse_number(std::string const& text)
{
    Number value{};
    auto const* end = text.data() + text.size();
    auto const [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || stop != end)
    {
        return std::nullopt;
    }
    return value;
}

bool is_printable(std::string const& text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return c > ' ' && c <= '~'; });
}

base::result<bool> read_mark(http_call const& request, bool otherwise)
{
    auto const* name = "X-Non-Idempotent";
    if (request.headers_.find(name) == nullptr)
    {
        return otherwise;
    }
    auto const value = request.headers_.value(name);
    if (value != "true" && value != "false")
    {
        return invalid("X-Non-Idempotent: must be true or false");
    }
    return value == "true";
}

base::result<std::string> read_key(http_call const& request)
{
    auto const key = request.headers_.value("Idempotency-Key");
    if (key.size() > most_key_bytes || !is_printable(key))
    {
        return invalid("Idempotency-Key: at most 255 printable characters "
                       "without spaces");
    }
    return key;
}

base::result<std::optional<base::duration>>
read_deadline(http_call const& request)
{
    auto const* name = "X-Deadline-Ms";
    if (request.headers_.find(name) == nullptr)
    {
        return std::optional<base::duration>{};
    }
    auto const value = parse_number<std::int64_t>(request.headers_.value(name));
    if (!value || *value > most_deadline_ms)
    {
        return invalid("X-Deadline-Ms: milliseconds from now, at most " +
                       std::to_string(most_deadline_ms));
    }
    return std::optional<base::duration>{
        std::chrono::milliseconds{std::max<std::int64_t>(*value, 0)}};
}

base::result<std::uint64_t> read_last_event(http_call const& request)
{
    auto const* name = "Last-Event-ID";
    if (request.headers_.find(name) == nullptr)
    {
        return std::uint64_t{0};
    }
    auto const value =
        parse_number<std::uint64_t>(request.headers_.value(name));
    if (!value)
    {
        return invalid("Last-Event-ID: must be a number");
    }
    return *value;
}

} // namespace

base::result<caller_options> read_options(http_call const& request,
                                          bool non_idempotent_by_default)
{
    caller_options options;
    BOOST_OUTCOME_TRY(options.idempotency_key_, read_key(request));
    BOOST_OUTCOME_TRY(options.non_idempotent_,
                      read_mark(request, non_idempotent_by_default));
    BOOST_OUTCOME_TRY(options.deadline_, read_deadline(request));
    BOOST_OUTCOME_TRY(options.last_event_, read_last_event(request));
    options.forwarded_ = request.headers_.find(forwarded_header) != nullptr;
    if (options.non_idempotent_ && options.idempotency_key_.empty())
    {
        return invalid("Idempotency-Key: needed, for the request runs at most "
                       "once");
    }
    return options;
}

} // namespace tanagerlead::http
