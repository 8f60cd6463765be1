#pragma once

#include "src/base/ids.hpp"
#include "src/base/units.hpp"

#include <array>

namespace tanagerlead::sched
{

/// Ensures that a higher tier is never shed while a lower one is served: at
/// least `window` passes between the refusal of a tier as overloaded and a
/// grant of any lower tier, whichever comes first.
class shed_gate
{
public:
    static constexpr base::duration window = std::chrono::milliseconds{250};

    shed_gate();

    bool may_shed(base::tier t, base::time_point now) const;
    /// Earliest time, not before `now`, at which the tier may be shed if no
    /// lower tier is granted until then.
    base::time_point earliest_shed(base::tier t, base::time_point now) const;
    /// The lowest tier that may be granted at `now`.
    base::tier lowest_grantable(base::time_point now) const;
    /// Time at which a lower tier becomes grantable; `time_point::max()` if all
    /// tiers are grantable.
    base::time_point next_change(base::time_point now) const;

    /// Both functions assert that the grant or refusal is allowed.
    void on_grant(base::tier t, base::time_point now);
    void on_shed(base::tier t, base::time_point now);

private:
    using times = std::array<base::time_point, base::max_tiers>;

    times granted_;
    times shed_;
};

} // namespace tanagerlead::sched
