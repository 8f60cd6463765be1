#pragma once

#include "src/config/configuration.hpp"

#include <functional>

namespace tanagerlead::config
{

/// Where the other services read the configuration in force.
class source
{
public:
    virtual ~source() = default;

    /// Never null; version 0 is empty. Any thread.
    virtual snapshot current() const = 0;

    /// Calls `listener` on the control thread after each new version.
    /// Registered during start.
    virtual void subscribe(std::function<void(snapshot const&)> listener) = 0;
};

} // namespace tanagerlead::config
