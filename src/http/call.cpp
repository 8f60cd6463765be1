#include "src/http/call.hpp"

#include "src/http/url.hpp"

namespace tanagerlead::http
{

std::optional<std::string> http_call::parameter(std::string_view name) const
{
    return query_parameter(target_, name);
}

void http_reply::set_header(std::string const& name, std::string value)
{
    response_.headers_.set(name, std::move(value));
}

void http_reply::add_header(std::string name, std::string value)
{
    response_.headers_.add(std::move(name), std::move(value));
}

void http_reply::set_content(std::string body, std::string const& type)
{
    response_.body_ = std::move(body);
    set_header("Content-Type", type);
}

} // namespace tanagerlead::http
