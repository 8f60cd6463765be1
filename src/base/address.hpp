#pragma once

#include "src/base/error.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace tanagerlead::base
{

/// Length-prefixed text for archives; defined in src/base/serialization.hpp.
template <class Archive>
void serialize_text(Archive& archive, std::string& text);

/// An IPv4 address and port.
struct address
{
    /// Dotted decimal.
    std::string ip_;
    std::uint16_t port_ = 0;

    auto operator<=>(address const&) const = default;

    bool empty() const { return ip_.empty(); }
    /// "ip:port".
    std::string str() const;

    template <class Archive>
    void serialize(Archive& archive)
    {
        serialize_text(archive, ip_);
        archive(port_);
    }

    template <class H>
    friend H AbslHashValue(H state, address const& a)
    {
        return H::combine(std::move(state), a.ip_, a.port_);
    }
};

/// Reads "ip:port"; names are refused, for everything goes by IP number.
result<address> parse_address(std::string_view text);

} // namespace tanagerlead::base
