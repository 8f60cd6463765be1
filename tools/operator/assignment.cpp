#include "tools/operator/assignment.hpp"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

namespace tanagerlead::operator_tool
{

namespace
{

using nlohmann::json;

auto wrong(std::string const& assignment)
{
    return base::fail(base::error_code::invalid_argument, "read --set", {},
                      "\"" + assignment +
                          "\" is not POINTER=VALUE, for example "
                          "/targets/r1/slots=8");
}

json read_value(std::string const& text)
{
    auto value = json::parse(text, nullptr, false);
    return value.is_discarded() ? json(text) : value;
}

/// The steps of a JSON pointer, each an object member of its own.
base::result<json*> descend(json& document, json::json_pointer pointer,
                            std::string const& assignment)
{
    std::vector<std::string> steps;
    for (; !pointer.empty(); pointer.pop_back())
    {
        steps.push_back(pointer.back());
    }
    auto* at = &document;
    for (auto step = steps.rbegin(); step != steps.rend(); ++step)
    {
        if (at->is_null())
        {
            *at = json::object();
        }
        if (!at->is_object())
        {
            return wrong(assignment);
        }
        at = &(*at)[*step];
    }
    return at;
}

base::result<void> assign(json& document, std::string const& assignment)
{
    auto const equals = assignment.find('=');
    if (equals == std::string::npos || equals == 0)
    {
        return wrong(assignment);
    }
    try
    {
        json::json_pointer const pointer{assignment.substr(0, equals)};
        BOOST_OUTCOME_TRY(auto* const at,
                          descend(document, pointer, assignment));
        *at = read_value(assignment.substr(equals + 1));
    }
    catch (json::exception const&)
    {
        return wrong(assignment);
    }
    return base::success();
}

} // namespace

base::result<std::string>
merge_patch_of(std::vector<std::string> const& assignments)
{
    auto document = json::object();
    for (auto const& each : assignments)
    {
        BOOST_OUTCOME_TRY(assign(document, each));
    }
    return document.dump();
}

} // namespace tanagerlead::operator_tool
