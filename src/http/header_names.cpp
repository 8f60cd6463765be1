#include "src/http/header_names.hpp"

#include "src/net/http_message.hpp"

#include <algorithm>
#include <array>

namespace tanagerlead::http
{

namespace
{

constexpr std::string_view own_prefix = "x-tanagerlead-";

/// Of one connection, or set anew for each.
constexpr std::array of_connection{
    std::string_view{"connection"},
    std::string_view{"content-length"},
    std::string_view{"content-type"},
    std::string_view{"expect"},
    std::string_view{"host"},
    std::string_view{"keep-alive"},
    std::string_view{"proxy-authenticate"},
    std::string_view{"proxy-authorization"},
    std::string_view{"te"},
    std::string_view{"trailer"},
    std::string_view{"transfer-encoding"},
    std::string_view{"upgrade"},
    std::string_view{"x-request-id"},
};

/// Between the caller and this daemon.
constexpr std::array of_caller{
    std::string_view{"accept-encoding"},
    std::string_view{"authorization"},
    std::string_view{"x-deadline-ms"},
    std::string_view{"x-non-idempotent"},
};

bool starts_with_own_prefix(std::string_view name)
{
    return net::header_names_equal(name.substr(0, own_prefix.size()),
                                   own_prefix);
}

template <class Names>
bool contains(Names const& names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(),
                       [name](std::string_view each)
                       { return net::header_names_equal(each, name); });
}

} // namespace

bool passes_to_target(std::string_view name)
{
    return passes_to_caller(name) && !contains(of_caller, name);
}

bool passes_to_caller(std::string_view name)
{
    return !starts_with_own_prefix(name) && !contains(of_connection, name);
}

} // namespace tanagerlead::http
