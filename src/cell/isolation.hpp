#pragma once

#include "src/base/units.hpp"
#include "src/membership/view.hpp"

#include <map>
#include <optional>

namespace tanagerlead::cell
{

/// Tells when a daemon is cut off: it sees no majority of the members that it
/// knew lately, and cannot reach the store either, for a while.
class isolation
{
public:
    explicit isolation(base::daemon_id self) : self_{std::move(self)} {}

    void on_members(membership::member_list const& members,
                    base::time_point now);
    void set_store_reachable(bool reachable, base::time_point now);

    bool is_isolated(base::time_point now) const;

private:
    void update(base::time_point now);
    bool sees_majority() const;

    struct known_member
    {
        bool alive_ = false;
        base::time_point seen_;
    };

    base::daemon_id self_;
    std::map<base::daemon_id, known_member> known_;
    bool store_reachable_ = true;
    std::optional<base::time_point> cut_off_since_;
};

} // namespace tanagerlead::cell
