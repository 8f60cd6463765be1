#pragma once

#include "src/membership/member.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace tanagerlead::membership
{

/// All known members, ordered by daemon id; the own daemon is one of them.
struct member_list
{
    std::vector<member> members_;
};

using view = std::shared_ptr<member_list const>;

/// Where the other services read who is alive.
class directory
{
public:
    virtual ~directory() = default;

    /// Never null. Any thread.
    virtual view current() const = 0;
    /// The own daemon, as the others see it.
    virtual member self() const = 0;

    /// Calls `listener` on the control thread after each change. Registered
    /// during start.
    virtual void subscribe(std::function<void(view const&)> listener) = 0;
};

} // namespace tanagerlead::membership
