#include "src/http/request_runner.hpp"

#include "src/http/peer_run.hpp"
#include "src/http/refusal.hpp"
#include "src/request/issued_key.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <tuple>
#include <vector>

namespace tanagerlead::http
{

namespace
{

constexpr int conflict = 409;
constexpr int unprocessable = 422;
/// A write to the store takes all claims that wait, so a few threads suffice:
/// 32 claims in 50 ms are 640 a second.
constexpr std::size_t claim_threads = 32;
constexpr base::duration typical_retry = std::chrono::seconds{1};

request::answer_end key_reused()
{
    return {request::outcome::not_run,
            unprocessable,
            "key_reused",
            {base::error_code::conflict,
             "look up the idempotency key",
             {},
             "the key was used for another request"},
            {}};
}

request::answer_end key_unknown(std::string peer, std::string detail)
{
    return {request::outcome::unknown,
            conflict,
            "key_used",
            {base::error_code::conflict, "look up the idempotency key",
             std::move(peer), std::move(detail)},
            {}};
}

} // namespace

request_runner::request_runner(runner_settings const& settings,
                               runner_services const& services)
    : settings_{settings}, use_{services}, advice_{settings.seed_},
      issued_keys_{settings.most_issued_keys_}, claim_workers_{claim_threads}
{
}

request_runner::~request_runner()
{
    stop();
}

void request_runner::watch(std::shared_ptr<runnable> const& work)
{
    auto& record = *work->job_.record_;
    {
        std::lock_guard const lock{mutex_};
        live_.emplace(record.identity().id_, work);
    }
    record.on_end([this, work](request::answer_end const& end)
                  { on_end(*work, end); });
}

void request_runner::start(std::shared_ptr<runnable> const& work)
{
    watch(work);
    auto const& identity = work->job_.record_->identity();
    auto const issuer = request::issuer_of(identity.key_);
    if (identity.non_idempotent_ && issuer && issuer != settings_.origin_)
    {
        auto& record = *work->job_.record_;
        if (!begin_work())
        {
            record.end(refused(sched::refusal_cause::draining, usual_retry()));
        }
        else if (record.begin_connect())
        {
            ask_holder(work, *issuer);
        }
        else
        {
            end_work();
        }
        return;
    }
    work->job_.record_->queue();
    use_.dispatcher_.submit(work->item_,
                            [this, work](request::decision const& decision)
                            { decided(work, decision); });
}

void request_runner::refuse(std::shared_ptr<runnable> const& work,
                            sched::refusal_cause cause,
                            base::duration retry_after)
{
    watch(work);
    work->job_.record_->end(refused(cause, retry_after));
}

void request_runner::on_end(runnable const& work,
                            request::answer_end const& end)
{
    auto const& record = *work.job_.record_;
    auto const state = record.state();
    auto const now = use_.clock_.now();
    auto const tokens = record.tokens();
    if (end.outcome_ == request::outcome::not_run)
    {
        give_back_key(work);
    }
    use_.metrics_.add({record.identity().workspace_, record.identity().tier_,
                       end.outcome_, end.code_, state.waited(now),
                       state.to_first_output(), state.total(now),
                       tokens.prompt_, tokens.output_, tokens.cached_});
    use_.table_.remember(work.job_.record_);
    std::lock_guard const lock{mutex_};
    live_.erase(record.identity().id_);
    ended_.notify_all();
}

void request_runner::decided(std::shared_ptr<runnable> const& work,
                             request::decision const& decision)
{
    if (auto const* no = std::get_if<request::refuse>(&decision))
    {
        // The caller may have gone while the decision was on its way.
        work->job_.record_->end_if_waiting(
            refused(no->cause_, no->retry_after_));
        return;
    }
    if (!begin_work())
    {
        refuse_waiting(work, sched::refusal_cause::draining);
        return;
    }
    net::asio::post(use_.loop_,
                    [this, work, to = std::get<request::dispatch_to>(decision)]
                    { run_granted(work, to); });
}

bool request_runner::begin_work()
{
    std::lock_guard const lock{mutex_};
    if (stopping_)
    {
        return false;
    }
    ++at_work_;
    return true;
}

void request_runner::end_work()
{
    std::lock_guard const lock{mutex_};
    --at_work_;
    ended_.notify_all();
}

bool request_runner::is_stopping() const
{
    std::lock_guard const lock{mutex_};
    return stopping_;
}

void request_runner::run_granted(std::shared_ptr<runnable> const& work,
                                 request::dispatch_to const& to)
{
    if (!work->job_.record_->begin_connect())
    {
        decline(*work, to);
        end_work();
        return;
    }
    may_run(work, [this, work, to](permission right)
            { on_permission(work, to, right); });
}

void request_runner::on_permission(std::shared_ptr<runnable> const& work,
                                   request::dispatch_to const& to,
                                   permission right)
{
    switch (right)
    {
    case permission::granted:
        start_run(work, std::make_shared<target_run>(
                            target_run_services{use_.loop_, use_.targets_,
                                                use_.dispatcher_, use_.metrics_,
                                                use_.clock_, settings_.target_},
                            work->job_, to));
        return;
    case permission::elsewhere:
        decline(*work, to);
        ask_holder(work, work->foreign_holder_);
        return;
    case permission::denied:
        decline(*work, to);
        end_work();
        return;
    }
}

void request_runner::decline(runnable const& work,
                             request::dispatch_to const& to)
{
    use_.dispatcher_.report({work.job_.record_->identity().id_,
                             to.target_,
                             sched::dispatch_event::declined,
                             {},
                             0,
                             0});
}

void request_runner::start_run(std::shared_ptr<runnable> const& work,
                               std::shared_ptr<active_run> const& run)
{
    runs_[work->job_.record_->identity().id_] = run;
    run->start(
        [this, work](bool request_ended)
        {
            // The run may be in the middle of a call.
            net::asio::post(use_.loop_, [this, work, request_ended]
                            { on_run_ended(work, request_ended); });
        });
    if (is_stopping())
    {
        run->stop();
    }
}

void request_runner::on_run_ended(std::shared_ptr<runnable> const& work,
                                  bool request_ended)
{
    runs_.erase(work->job_.record_->identity().id_);
    if (!request_ended)
    {
        not_sent(work);
    }
    end_work();
}

void request_runner::ask_holder(std::shared_ptr<runnable> const& work,
                                std::uint64_t origin)
{
    auto& record = *work->job_.record_;
    auto const address = use_.entries_.address_of(origin);
    // Sent on once at most: two daemons that take each other for the holder
    // would go on for ever.
    if (address.empty() || work->forwarded_)
    {
        record.end(key_unknown(address.str(),
                               "the daemon that was given the key is gone"));
        end_work();
        return;
    }
    start_run(work, std::make_shared<peer_run>(use_.targets_, settings_.target_,
                                               use_.clock_, *work, address));
}

void request_runner::not_sent(std::shared_ptr<runnable> const& work)
{
    auto& record = *work->job_.record_;
    if (record.state().final())
    {
        return;
    }
    if (is_stopping())
    {
        refuse_waiting(work, sched::refusal_cause::draining);
        return;
    }
    if (record.withdraw_if_unread())
    {
        return;
    }
    ++work->connect_tries_;
    if (work->connect_tries_ < settings_.most_connect_tries_)
    {
        use_.dispatcher_.resubmit(
            work->item_, [this, work](request::decision const& decision)
            { decided(work, decision); });
        return;
    }
    record.end_if_waiting(
        refused(sched::refusal_cause::no_target, usual_retry()));
}

base::duration request_runner::usual_retry()
{
    return advice_.around(typical_retry);
}

bool request_runner::refuse_waiting(std::shared_ptr<runnable> const& work,
                                    sched::refusal_cause cause)
{
    if (!work->job_.record_->end_if_waiting(refused(cause, usual_retry())))
    {
        return false;
    }
    use_.dispatcher_.withdraw(work->item_.request_);
    return true;
}

bool request_runner::make_room_for(base::tier tier)
{
    std::vector<std::shared_ptr<runnable>> lower;
    {
        std::lock_guard const lock{mutex_};
        for (auto const& [id, work] : live_)
        {
            if (work->item_.tier_ > tier)
            {
                lower.push_back(work);
            }
        }
    }
    std::sort(lower.begin(), lower.end(),
              [](auto const& a, auto const& b)
              {
                  return std::tie(a->item_.tier_, a->item_.received_) >
                         std::tie(b->item_.tier_, b->item_.received_);
              });
    return std::any_of(
        lower.begin(), lower.end(),
        [this](auto const& work)
        { return refuse_waiting(work, sched::refusal_cause::overloaded); });
}

void request_runner::reader_left(request::record_ptr const& record)
{
    auto const id = record->identity().id_;
    if (record->withdraw_if_unread())
    {
        use_.dispatcher_.withdraw(id);
        return;
    }
    auto const found = runs_.find(id);
    if (found != runs_.end())
    {
        found->second->stop_if_abandoned();
    }
}

std::size_t request_runner::in_flight() const
{
    std::lock_guard const lock{mutex_};
    return live_.size();
}

bool request_runner::wait_until_idle(base::duration longest)
{
    std::unique_lock lock{mutex_};
    return ended_.wait_for(lock, longest, [this] { return live_.empty(); });
}

void request_runner::stop()
{
    decltype(live_) left;
    {
        std::lock_guard const lock{mutex_};
        if (stopping_)
        {
            return;
        }
        stopping_ = true;
        left = live_;
    }
    for (auto const& [id, work] : left)
    {
        refuse_waiting(work, sched::refusal_cause::draining);
    }
    std::unique_lock lock{mutex_};
    if (at_work_ > 0)
    {
        ++at_work_;
        net::asio::post(use_.loop_,
                        [this]
                        {
                            for (auto const& [id, run] : runs_)
                            {
                                run->stop();
                            }
                            end_work();
                        });
        ended_.wait(lock, [this] { return at_work_ == 0; });
    }
    lock.unlock();
    claim_workers_.stop();
}

void request_runner::may_run(std::shared_ptr<runnable> const& work,
                             permitted const& done)
{
    auto const& identity = work->job_.record_->identity();
    if (!identity.non_idempotent_ || work->right_ != run_right::none)
    {
        done(permission::granted);
        return;
    }
    if (request::issuer_of(identity.key_) == settings_.origin_)
    {
        use_issued_key(work, done);
        return;
    }
    use_claim(work, done);
}

void request_runner::use_issued_key(std::shared_ptr<runnable> const& work,
                                    permitted const& done)
{
    // A key with the own prefix is run by this life of this daemon alone, so
    // its memory decides, without a write to the store. That is safe for as
    // long as this process lives: used keys are never forgotten. When there
    // is no room for another key, it falls back to a claim, and no further
    // key can be issued. Once this life has ended, every daemon answers
    // `unknown` for the key.
    auto const& identity = work->job_.record_->identity();
    switch (issued_keys_.insert(identity.workspace_, identity.key_))
    {
    case request::key_set::insertion::added:
        work->right_ = run_right::issued_key;
        done(permission::granted);
        return;
    case request::key_set::insertion::present:
        done(deny(*work, key_unknown({}, "the key was used, and its answer "
                                         "is no longer remembered")));
        return;
    case request::key_set::insertion::full:
        use_claim(work, done);
        return;
    }
}

void request_runner::use_claim(std::shared_ptr<runnable> const& work,
                               permitted const& done)
{
    // Claimed after the grant: a claim outlives a refusal, and under overload
    // most refusals come before a grant. The target's slot waits meanwhile,
    // for some milliseconds.
    claim_workers_.post(
        [this, work, done]
        {
            auto const& identity = work->job_.record_->identity();
            auto held =
                use_.claims_.acquire({identity.workspace_, identity.key_,
                                      identity.id_, identity.fingerprint_});
            net::asio::post(use_.loop_,
                            [this, work, done, held = std::move(held)]
                            { done(judge_claim(*work, held)); });
        });
}

request_runner::permission
request_runner::judge_claim(runnable& work,
                            base::result<request::claim> const& held)
{
    auto const& identity = work.job_.record_->identity();
    if (!held)
    {
        // The claim may have been written; nobody else will run it then.
        work.right_ = run_right::claim;
        work.claim_holder_ = identity.id_;
        auto end =
            refused(sched::refusal_cause::store_unavailable, usual_retry());
        end.error_ = held.error();
        return deny(work, std::move(end));
    }
    auto const& holder = held.value();
    if (holder.fingerprint_ != identity.fingerprint_)
    {
        return deny(work, key_reused());
    }
    if (holder.holder_.origin_ != settings_.origin_)
    {
        work.foreign_holder_ = holder.holder_.origin_;
        return permission::elsewhere;
    }
    if (holder.holder_ == identity.id_ || take_unused_claim(holder.holder_))
    {
        work.right_ = run_right::claim;
        work.claim_holder_ = holder.holder_;
        return permission::granted;
    }
    return deny(work, key_unknown({}, "the key was used, and its answer is "
                                      "no longer remembered"));
}

request_runner::permission request_runner::deny(runnable& work,
                                                request::answer_end how)
{
    work.job_.record_->end(std::move(how));
    return permission::denied;
}

void request_runner::give_back_key(runnable const& work)
{
    auto const& identity = work.job_.record_->identity();
    switch (work.right_)
    {
    case run_right::none:
        break;
    case run_right::issued_key:
        issued_keys_.erase(identity.workspace_, identity.key_);
        break;
    case run_right::claim:
    {
        std::lock_guard const lock{mutex_};
        if (unused_claims_.size() < settings_.most_issued_keys_)
        {
            unused_claims_.insert(work.claim_holder_);
        }
        break;
    }
    }
}

bool request_runner::take_unused_claim(base::request_id holder)
{
    std::lock_guard const lock{mutex_};
    return unused_claims_.erase(holder) > 0;
}

} // namespace tanagerlead::http
