#pragma once

#include "src/base/ids.hpp"
#include "src/base/units.hpp"

#include <array>

namespace tanagerlead::sched
{

/// Keeps the promise that a higher tier is never shed while a lower one is
/// served: between the refusal of a tier as overloaded and a grant of any lower
/// tier, whichever comes first, at least `window` passes.
class shed_gate
{
public:
    static constexpr base::duration window = std::chrono::milliseconds{250};

    shed_gate();

    bool may_shed(base::tier t, base::time_point now) const;
    /// The first time from `now` at which the tier may be shed if no lower
    /// one is granted before.
    base::time_point earliest_shed(base::tier t, base::time_point now) const;
    /// The lowest tier that may be granted.
    base::tier lowest_grantable(base::time_point now) const;
    /// When `lowest_grantable` rises; `time_point::max()` when it will not.
    base::time_point next_change(base::time_point now) const;

    /// Both assert that they are allowed.
    void on_grant(base::tier t, base::time_point now);
    void on_shed(base::tier t, base::time_point now);

private:
    using times = std::array<base::time_point, base::max_tiers>;

    times granted_;
    times shed_;
};

} // namespace tanagerlead::sched
