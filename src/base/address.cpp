#include "src/base/address.hpp"

#include <arpa/inet.h>

#include <charconv>

namespace tanagerlead::base
{

namespace
{
auto bad_address(std::string_view text)
{
    return fail(error_code::invalid_argument, "parse address", {},
                "expected ip:port, got '" + std::string{text} + "'");
}
} // namespace

std::string address::str() const
{
    return ip_ + ":" + std::to_string(port_);
}

result<address> parse_address(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return bad_address(text);
    }
    address parsed;
    parsed.ip_ = std::string{text.substr(0, colon)};
    in_addr number{};
    if (inet_pton(AF_INET, parsed.ip_.c_str(), &number) != 1)
    {
        return bad_address(text);
    }
    auto const port = text.substr(colon + 1);
    auto const* end = port.data() + port.size();
    auto const [stop, error] = std::from_chars(port.data(), end, parsed.port_);
    if (error != std::errc{} || stop != end)
    {
        return bad_address(text);
    }
    return parsed;
}

} // namespace tanagerlead::base
