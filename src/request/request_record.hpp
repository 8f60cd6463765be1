#pragma once

#include "src/base/clock.hpp"
#include "src/base/ids.hpp"
#include "src/request/answer_buffer.hpp"
#include "src/request/request_state.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace tanagerlead::request
{

/// What a request is; never changes.
struct request_identity
{
    base::request_id id_;
    base::workspace_id workspace_;
    base::pool_id pool_;
    base::tier tier_{};
    /// `Idempotency-Key`; empty when there is none.
    std::string key_;
    /// Of workspace, pool and body.
    std::uint64_t fingerprint_ = 0;
    bool non_idempotent_ = false;
};

/// Tokens as the target counted them.
struct token_usage
{
    base::token_count prompt_ = 0;
    base::token_count output_ = 0;
    /// Prompt tokens taken from the target's cache.
    base::token_count cached_ = 0;
};

/// One request of this daemon: its life cycle and its answer. Every change of
/// phase goes through here, under one lock. Any thread.
class request_record
{
public:
    /// Called once when the request has ended, before readers see the end.
    using end_listener = std::function<void(answer_end const&)>;

    request_record(request_identity identity, base::clock const& clock,
                   std::size_t most_answer_bytes);

    request_identity const& identity() const { return identity_; }
    answer_buffer& answer() { return answer_; }
    answer_buffer const& answer() const { return answer_; }
    /// A copy.
    request_state state() const;

    /// Set before the first change of phase.
    void on_end(end_listener listener);

    /// It was given to a scheduler.
    void queue();
    /// A grant is about to be used: from now on no hang-up ends the request.
    /// False when it has ended already and must not be run.
    bool begin_connect();
    /// Nothing was sent; it waits for another grant.
    void connect_failed();
    /// A byte may have reached a target.
    void dispatch();
    /// The answer's first event is there.
    void first_output();
    void end(answer_end how);

    /// Ends the request when it is queued without being connected. True when
    /// it did.
    bool end_if_waiting(answer_end how);
    /// The caller went away: ends the request as `not_run` when nobody reads
    /// and it is queued without being connected. True when it ended.
    bool withdraw_if_unread();

    /// A caller reads the answer, or waits for it.
    void attach();
    void detach();
    int readers() const;
    /// How long nobody has been reading; zero while somebody is.
    base::duration unread_for() const;

    void count_tokens(token_usage const& usage);
    token_usage tokens() const;

private:
    bool is_waiting() const;
    void end_locked(answer_end how, std::unique_lock<std::mutex>& lock);

    request_identity const identity_;
    base::clock const& clock_;
    answer_buffer answer_;
    end_listener on_end_;

    mutable std::mutex mutex_;
    request_state state_;
    bool connecting_ = false;
    int readers_ = 0;
    base::time_point unread_since_;
    token_usage tokens_;
};

using record_ptr = std::shared_ptr<request_record>;

} // namespace tanagerlead::request
