#pragma once

#include "src/base/error.hpp"
#include "src/base/units.hpp"

#include <cstdint>
#include <string>

namespace tanagerlead::fakes
{

enum class relay_action : std::uint8_t
{
    /// Closes connections.
    cut,
    /// Keeps connections open and drops what arrives on them.
    silence,
    /// Holds everything back for a time.
    delay,
    /// Ends all of this for new connections and for datagrams.
    restore,
};

/// Which way bytes are dropped.
enum class relay_direction : std::uint8_t
{
    both,
    /// Towards the address that the relay stands before.
    forward,
    back,
};

/// One `POST /fake/relay`.
struct relay_order
{
    relay_action action_ = relay_action::restore;
    relay_direction direction_ = relay_direction::both;
    /// Later connections too, and datagrams; otherwise only the TCP
    /// connections that are open now.
    bool all_ = false;
    base::duration delay_{};
};

/// Reads `{"action":"cut|silence|delay|restore","scope":"existing|all",
/// "direction":"both|forward|back","delay_ms":N}`.
base::result<relay_order> read_relay_order(std::string const& body);

} // namespace tanagerlead::fakes
