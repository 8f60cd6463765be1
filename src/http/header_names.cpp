#include "src/http/header_names.hpp"

#include <algorithm>
#include <array>

namespace tanagerlead::http
{

namespace
{

constexpr std::string_view own_prefix = "x-tanagerlead-";

/// Of one connection, or set anew by the library for each.
constexpr std::array of_connection{
    std::string_view{"connection"},
    std::string_view{"content-length"},
    std::string_view{"content-type"},
    std::string_view{"expect"},
    std::string_view{"host"},
    std::string_view{"keep-alive"},
    std::string_view{"local_addr"},
    std::string_view{"local_port"},
    std::string_view{"proxy-authenticate"},
    std::string_view{"proxy-authorization"},
    std::string_view{"remote_addr"},
    std::string_view{"remote_port"},
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

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool starts_with_own_prefix(std::string_view name)
{
    return equal_names(name.substr(0, own_prefix.size()), own_prefix);
}

template <class Names>
bool contains(Names const& names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(),
                       [name](std::string_view each)
                       { return equal_names(each, name); });
}

} // namespace

bool equal_names(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y) { return lower(x) == lower(y); });
}

bool passes_to_target(std::string_view name)
{
    return passes_to_caller(name) && !contains(of_caller, name);
}

bool passes_to_caller(std::string_view name)
{
    return !starts_with_own_prefix(name) && !contains(of_connection, name);
}

} // namespace tanagerlead::http
