#pragma once

#include "src/http/runnable.hpp"
#include "src/http/worker_pool.hpp"
#include "src/request/claim_store.hpp"
#include "src/request/dispatcher.hpp"
#include "src/request/key_set.hpp"
#include "src/request/metrics.hpp"
#include "src/request/request_table.hpp"
#include "src/request/retry_advice.hpp"
#include "src/sched/types.hpp"

#include <absl/container/flat_hash_set.h>

#include <memory>
#include <unordered_map>

namespace tanagerlead::http
{

struct runner_settings
{
    std::uint64_t origin_ = 0;
    std::uint64_t seed_ = 0;
    target_limits target_;
    int most_connect_tries_ = 0;
    std::size_t most_issued_keys_ = 0;
};

/// What the runner works with; all must outlive it.
struct runner_services
{
    net::asio::io_context& loop_;
    request::dispatcher& dispatcher_;
    request::entry_directory& entries_;
    request::claim_store& claims_;
    base::clock const& clock_;
    target_connection& targets_;
    request::request_table& table_;
    request::metrics& metrics_;
};

/// Takes requests from their submission to their end. Requests start and their
/// readers leave on the loop; the rest may be called by any thread.
class request_runner
{
public:
    request_runner(runner_settings const& settings,
                   runner_services const& services);
    ~request_runner();

    /// The request is in the table and has not been submitted. Returns at
    /// once; the end shows in the record.
    void start(std::shared_ptr<runnable> const& work);
    /// Ends the request as refused, before it was submitted.
    void refuse(std::shared_ptr<runnable> const& work,
                sched::refusal_cause cause, base::duration retry_after);

    /// Refuses one waiting request of the lowest tier after `tier`, the
    /// newest first. False when none waits.
    bool make_room_for(base::tier tier);
    /// Jittered wait before another try, where no backlog tells a better one.
    base::duration usual_retry();

    /// A caller stopped reading.
    void reader_left(request::record_ptr const& record);

    /// Whether keys with the own prefix need no claim.
    bool issues_keys() const { return !issued_keys_.full(); }
    /// Requests that have not ended.
    std::size_t in_flight() const;
    bool wait_until_idle(base::duration longest);
    /// Refuses what waits and cuts what still runs. Not on the loop, which
    /// must still be running.
    void stop();

private:
    enum class permission
    {
        /// This daemon may run it, and nobody else will.
        granted,
        /// It has been ended.
        denied,
        /// `foreign_holder_` of the request alone may.
        elsewhere,
    };

    using permitted = std::function<void(permission)>;

    /// False once the runner stops; else `end_work` follows.
    bool begin_work();
    void end_work();
    bool is_stopping() const;

    void watch(std::shared_ptr<runnable> const& work);
    void on_end(runnable const& work, request::answer_end const& end);
    void decided(std::shared_ptr<runnable> const& work,
                 request::decision const& decision);
    void run_granted(std::shared_ptr<runnable> const& work,
                     request::dispatch_to const& to);
    void on_permission(std::shared_ptr<runnable> const& work,
                       request::dispatch_to const& to, permission right);
    void decline(runnable const& work, request::dispatch_to const& to);
    bool refuse_waiting(std::shared_ptr<runnable> const& work,
                        sched::refusal_cause cause);
    void start_run(std::shared_ptr<runnable> const& work,
                   std::shared_ptr<active_run> const& run);
    void on_run_ended(std::shared_ptr<runnable> const& work,
                      bool request_ended);
    void not_sent(std::shared_ptr<runnable> const& work);
    /// Has the daemon that may run the request answer it.
    void ask_holder(std::shared_ptr<runnable> const& work,
                    std::uint64_t origin);

    void may_run(std::shared_ptr<runnable> const& work, permitted const& done);
    void use_issued_key(std::shared_ptr<runnable> const& work,
                        permitted const& done);
    void use_claim(std::shared_ptr<runnable> const& work,
                   permitted const& done);
    permission judge_claim(runnable& work,
                           base::result<request::claim> const& held);
    static permission deny(runnable& work, request::answer_end how);
    bool take_unused_claim(base::request_id holder);
    /// After the proof that it was not run: a repeat may.
    void give_back_key(runnable const& work);

    runner_settings const settings_;
    runner_services const use_;
    request::retry_advice advice_;
    /// Keys with the own prefix that were used, each until a `not_run`.
    request::key_set issued_keys_;
    /// Requests of this daemon that were not run, and may hold a claim under
    /// which a repeat of them may be. When one is forgotten, its key answers
    /// `unknown`.
    absl::flat_hash_set<base::request_id> unused_claims_;

    mutable std::mutex mutex_;
    std::condition_variable ended_;
    std::unordered_map<base::request_id, std::shared_ptr<runnable>> live_;
    /// Granted requests whose use of the grant has not ended.
    std::size_t at_work_ = 0;
    bool stopping_ = false;

    /// The loop's own.
    std::unordered_map<base::request_id, std::shared_ptr<active_run>> runs_;
    /// Claims wait for the store.
    worker_pool claim_workers_;
};

} // namespace tanagerlead::http
