#include "src/request/request_record.hpp"

#include <cassert>

namespace tanagerlead::request
{

request_record::request_record(request_identity identity,
                               base::clock const& clock,
                               std::size_t most_answer_bytes)
    : identity_{std::move(identity)}, clock_{clock}, answer_{most_answer_bytes},
      state_{clock.now()}, unread_since_{clock.now()}
{
}

request_state request_record::state() const
{
    std::lock_guard const lock{mutex_};
    return state_;
}

void request_record::on_end(end_listener listener)
{
    std::lock_guard const lock{mutex_};
    on_end_ = std::move(listener);
}

void request_record::queue()
{
    std::lock_guard const lock{mutex_};
    state_.queue();
}

bool request_record::begin_connect()
{
    std::lock_guard const lock{mutex_};
    if (state_.final())
    {
        return false;
    }
    assert(!connecting_);
    connecting_ = true;
    return true;
}

void request_record::connect_failed()
{
    std::lock_guard const lock{mutex_};
    assert(state_.current() == phase::queued);
    connecting_ = false;
}

void request_record::dispatch()
{
    std::lock_guard const lock{mutex_};
    assert(connecting_);
    state_.dispatch(clock_.now());
}

void request_record::first_output()
{
    std::lock_guard const lock{mutex_};
    state_.first_output(clock_.now());
}

void request_record::end(answer_end how)
{
    std::unique_lock lock{mutex_};
    end_locked(std::move(how), lock);
}

bool request_record::is_waiting() const
{
    return state_.current() == phase::queued && !connecting_;
}

bool request_record::end_if_waiting(answer_end how)
{
    std::unique_lock lock{mutex_};
    if (!is_waiting())
    {
        return false;
    }
    end_locked(std::move(how), lock);
    return true;
}

bool request_record::withdraw_if_unread()
{
    std::unique_lock lock{mutex_};
    if (!is_waiting() || readers_ > 0)
    {
        return false;
    }
    constexpr int client_closed_request = 499;
    end_locked({outcome::not_run,
                client_closed_request,
                "withdrawn",
                {base::error_code::unavailable,
                 "wait for a grant",
                 {},
                 "the caller went away"},
                {}},
               lock);
    return true;
}

void request_record::end_locked(answer_end how,
                                std::unique_lock<std::mutex>& lock)
{
    state_.end(how.outcome_, clock_.now());
    // Moved out, since it may own what owns this record.
    auto const listener = std::move(on_end_);
    lock.unlock();
    // The listener comes first: whoever sees the end may rely on its effects.
    if (listener)
    {
        listener(how);
    }
    answer_.finish(std::move(how));
}

void request_record::attach()
{
    std::lock_guard const lock{mutex_};
    ++readers_;
}

void request_record::detach()
{
    std::lock_guard const lock{mutex_};
    assert(readers_ > 0);
    --readers_;
    unread_since_ = clock_.now();
}

int request_record::readers() const
{
    std::lock_guard const lock{mutex_};
    return readers_;
}

base::duration request_record::unread_for() const
{
    std::lock_guard const lock{mutex_};
    return readers_ > 0 ? base::duration{} : clock_.now() - unread_since_;
}

void request_record::count_tokens(token_usage const& usage)
{
    std::lock_guard const lock{mutex_};
    tokens_ = usage;
}

token_usage request_record::tokens() const
{
    std::lock_guard const lock{mutex_};
    return tokens_;
}

} // namespace tanagerlead::request
