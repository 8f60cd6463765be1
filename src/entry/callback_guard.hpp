#pragma once

#include <memory>
#include <utility>

namespace tanagerlead::entry
{

/// Skips the callbacks of calls that their caller has given up.
class callback_guard
{
public:
    /// Gives up the calls made so far.
    void give_up_calls() { ++state_->generation_; }
    /// Gives up all calls, also later ones.
    void close() { state_->is_closed_ = true; }

    /// Wraps the callback of a call that is made now.
    template <class Callback>
    auto wrap(Callback callback) const
    {
        return [state = state_, generation = state_->generation_,
                callback = std::move(callback)](auto result)
        {
            if (!state->is_closed_ && generation == state->generation_)
            {
                callback(std::move(result));
            }
        };
    }

private:
    /// Outlives the guard while calls are pending.
    struct guard_state
    {
        int generation_ = 0;
        bool is_closed_ = false;
    };

    std::shared_ptr<guard_state> state_ = std::make_shared<guard_state>();
};

} // namespace tanagerlead::entry
