#pragma once

#include "src/base/units.hpp"

namespace tanagerlead::routing
{

/// Slots of one daemon at a brittle target that the target may not have free:
/// it has turned a request away, goes on running what ended early, or another
/// daemon used the slot until now. Such slots are tried one after the other,
/// with pauses, until the target has begun to run a request there.
class slot_doubt
{
public:
    /// Slots of `own` that may be used now.
    int usable(int own, base::time_point now) const;
    /// A request is sent while `in_use` slots are taken. True if it tries a
    /// slot that is in doubt; the next one may be tried after `pause`.
    bool on_sent(int own, int in_use, base::duration pause,
                 base::time_point now);
    /// The target has begun to run a request that tried a slot.
    void on_admitted(base::time_point now);
    /// The target turned a request away, which tried a slot if `is_trial`.
    /// No slot in doubt is tried before `pause` has passed, for each rejection
    /// if there are several at once.
    void on_rejected(bool is_trial, base::duration pause, base::time_point now);
    /// Further slots are in doubt. If there were none, the first one may be
    /// tried after `delay`.
    void add(int slots, base::duration delay, base::time_point now);

private:
    int slots_ = 0;
    base::time_point next_try_ = base::time_point::min();
};

} // namespace tanagerlead::routing
