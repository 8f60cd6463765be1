#pragma once

#include "src/base/error.hpp"

namespace tanagerlead::kernel
{

class kernel;

/// A part of the daemon that others find by name.
class service
{
public:
    virtual ~service() = default;

    /// Looks up the services it needs and begins to work. Services start in
    /// the order of their registration.
    virtual base::result<void> start(kernel& services) = 0;
    /// Ends all work; services stop in reverse order. Called once after a
    /// successful start.
    virtual void stop() = 0;
};

} // namespace tanagerlead::kernel
