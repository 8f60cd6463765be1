#include "src/http/url.hpp"

#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
// The library itself, compiled here: Debian's base package has headers only.
#include <boost/url/src.hpp>

namespace tanagerlead::http
{

namespace urls = boost::urls;

std::optional<std::vector<std::string>> path_segments(std::string_view target)
{
    auto const url = urls::parse_origin_form({target.data(), target.size()});
    if (!url)
    {
        return std::nullopt;
    }
    std::vector<std::string> segments;
    for (auto const segment : url->segments())
    {
        segments.emplace_back(segment);
    }
    return segments;
}

std::optional<std::string> query_parameter(std::string_view target,
                                           std::string_view name)
{
    auto const url = urls::parse_origin_form({target.data(), target.size()});
    if (!url)
    {
        return std::nullopt;
    }
    auto const parameters = url->params();
    auto const found = parameters.find({name.data(), name.size()});
    if (found == parameters.end())
    {
        return std::nullopt;
    }
    return std::string{(*found).value};
}

std::string path_behind(std::string const& target, std::string_view prefix)
{
    auto const begin = target.find_first_of("/?", prefix.size());
    if (begin == std::string::npos)
    {
        return "/";
    }
    auto const rest = target.substr(begin);
    return rest.front() == '/' ? rest : '/' + rest;
}

} // namespace tanagerlead::http
