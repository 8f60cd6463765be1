#include "src/http/call.hpp"

#include "src/http/url.hpp"

namespace tanagerlead::http
{

bool http_call::has_header(std::string_view name) const
{
    return headers_.find(name) != nullptr;
}

std::string http_call::header(std::string_view name) const
{
    auto const* const found = headers_.find(name);
    return found == nullptr ? std::string{} : *found;
}

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
