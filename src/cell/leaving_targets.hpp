#pragma once

#include "src/base/ids.hpp"
#include "src/base/units.hpp"

#include <set>

namespace tanagerlead::cell
{

/// Which targets the host list calls leaving, as last read by this daemon.
class leaving_targets
{
public:
    /// Without a list nothing is ever leaving, and that is known.
    explicit leaving_targets(bool has_list) : has_list_{has_list} {}

    void set(std::set<base::target_id> targets, base::time_point now)
    {
        targets_ = std::move(targets);
        fresh_until_ = now + lifetime;
    }

    bool contains(base::target_id const& target) const
    {
        return targets_.contains(target);
    }

    /// When one who begins to choose targets may do so: at once after a recent
    /// reading, else after the time that the first one may take.
    base::time_point usable_from(base::time_point now) const
    {
        auto const known = !has_list_ || now < fresh_until_;
        return known ? now : now + longest_first_reading;
    }

private:
    static constexpr base::duration lifetime = std::chrono::seconds{2};
    /// A list that cannot be read must not stop all work.
    static constexpr base::duration longest_first_reading =
        std::chrono::milliseconds{500};

    bool has_list_;
    std::set<base::target_id> targets_;
    base::time_point fresh_until_ = base::time_point::min();
};

} // namespace tanagerlead::cell
