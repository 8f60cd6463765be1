#include "src/http/usage.hpp"

#include <nlohmann/json.hpp>

namespace tanagerlead::http
{

namespace
{

/// Larger counts are taken for nonsense.
constexpr std::uint64_t most_tokens = 1'000'000'000;

base::token_count count(nlohmann::json const& object, char const* name)
{
    auto const found = object.find(name);
    if (found == object.end() || !found->is_number_unsigned())
    {
        return 0;
    }
    auto const value = found->get<std::uint64_t>();
    return value <= most_tokens ? static_cast<base::token_count>(value) : 0;
}

} // namespace

request::token_usage parse_usage(std::string_view json)
{
    constexpr bool allow_exceptions = false;
    auto const parsed = nlohmann::json::parse(json, nullptr, allow_exceptions);
    if (!parsed.is_object() || !parsed.contains("usage") ||
        !parsed["usage"].is_object())
    {
        return {};
    }
    auto const& usage = parsed["usage"];
    request::token_usage result;
    result.prompt_ = count(usage, "prompt_tokens");
    result.output_ = count(usage, "completion_tokens");
    auto const details = usage.find("prompt_tokens_details");
    if (details != usage.end() && details->is_object())
    {
        result.cached_ = count(*details, "cached_tokens");
    }
    return result;
}

} // namespace tanagerlead::http
