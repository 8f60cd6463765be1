#include "src/request/kv_claim_store.hpp"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace tanagerlead::request
{

/// A bucket and the claims that wait for its next write. The first that finds
/// nobody writing leads: it writes for all that wait.
class kv_claim_store::group
{
public:
    group(external::key_value_store& store, std::size_t number, wall_clock now,
          base::clock const& clock, base::duration write_interval)
        : bucket_{store, number, std::move(now)}, clock_{clock},
          write_interval_{write_interval}
    {
    }

    base::result<claim_entry> acquire(claim_entry const& wanted)
    {
        pending own{{wanted, std::nullopt}};
        std::unique_lock lock{mutex_};
        waiting_.push_back(&own);
        while (!own.done_)
        {
            if (leading_)
            {
                changed_.wait(lock);
            }
            else
            {
                lead(lock);
            }
        }
        return *own.attempt_.outcome_;
    }

    std::size_t waiting()
    {
        std::lock_guard const lock{mutex_};
        return waiting_.size();
    }

private:
    struct pending
    {
        claim_attempt attempt_;
        /// Set under the lock; the attempt is the leader's until then.
        bool done_ = false;
    };

    void lead(std::unique_lock<std::mutex>& lock)
    {
        leading_ = true;
        auto const pause = next_write_ - clock_.now();
        if (pause > base::duration{})
        {
            lock.unlock();
            std::this_thread::sleep_for(pause);
            lock.lock();
        }
        auto const together = take_waiting();
        lock.unlock();
        settle(together);
        lock.lock();
        for (auto* each : together)
        {
            each->done_ = true;
        }
        next_write_ = clock_.now() + write_interval_;
        leading_ = false;
        changed_.notify_all();
    }

    void settle(std::vector<pending*> const& together)
    {
        std::vector<claim_attempt*> attempts;
        attempts.reserve(together.size());
        for (auto* each : together)
        {
            attempts.push_back(&each->attempt_);
        }
        bucket_.settle(attempts);
    }

    /// At most what fits on one page; the others wait for the next write.
    std::vector<pending*> take_waiting()
    {
        auto const count = std::min(waiting_.size(), claims_a_page);
        auto const end = waiting_.begin() + static_cast<std::ptrdiff_t>(count);
        std::vector<pending*> out{waiting_.begin(), end};
        waiting_.erase(waiting_.begin(), end);
        return out;
    }

    /// Touched by the leader only.
    claim_bucket bucket_;
    base::clock const& clock_;
    base::duration write_interval_;
    base::time_point next_write_{};
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<pending*> waiting_;
    bool leading_ = false;
};

kv_claim_store::kv_claim_store(external::key_value_store& store,
                               base::clock const& clock, wall_clock const& now,
                               claim_settings settings)
    : settings_{settings}
{
    for (std::size_t i = 0; i < settings_.buckets_; ++i)
    {
        groups_.push_back(std::make_unique<group>(store, i, now, clock,
                                                  settings_.write_interval_));
    }
}

kv_claim_store::~kv_claim_store() = default;

std::size_t kv_claim_store::bucket_of(claim const& wanted) const
{
    return digest_claim(wanted.workspace_, wanted.key_).low_ %
           settings_.buckets_;
}

std::size_t kv_claim_store::waiting(std::size_t bucket) const
{
    return groups_[bucket]->waiting();
}

base::result<claim> kv_claim_store::acquire(claim const& wanted)
{
    if (forward_)
    {
        auto forwarded = forward_(bucket_of(wanted), wanted);
        // A claim that may have been made there is found when made again.
        if (forwarded && *forwarded)
        {
            return std::move(*forwarded);
        }
    }
    return acquire_here(wanted);
}

base::result<claim> kv_claim_store::acquire_here(claim const& wanted)
{
    claim_entry entry;
    entry.digest_ = digest_claim(wanted.workspace_, wanted.key_);
    entry.holder_ = wanted.holder_;
    entry.fingerprint_ = wanted.fingerprint_;
    auto const settled = groups_[bucket_of(wanted)]->acquire(entry);
    if (!settled)
    {
        return base::failure(settled.error());
    }
    return claim{wanted.workspace_, wanted.key_, settled.value().holder_,
                 settled.value().fingerprint_};
}

} // namespace tanagerlead::request
