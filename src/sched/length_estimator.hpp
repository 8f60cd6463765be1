#pragma once

#include "src/sched/types.hpp"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <list>

namespace tanagerlead::sched
{

/// Estimates the output length of a request from earlier answers to its
/// workspace in the same pool. Where there are few, it falls back to the mean
/// of the tier and then to a fraction of the request's maximum. Bounded: the
/// histories that were updated least recently are evicted.
class length_estimator
{
public:
    static constexpr std::size_t max_entries = 32768;

    explicit length_estimator(std::size_t capacity = max_entries)
        : capacity_{capacity}
    {
    }

    void add(work_item const& item, base::token_count output);
    base::token_count estimate(work_item const& item) const;
    std::size_t size() const { return histories_.size(); }

private:
    struct running_mean
    {
        double value_ = 0;
        double samples_ = 0;

        void add(double x);
        /// The mean weighted with `prior`, which counts less the more samples
        /// there are.
        double blend(double prior) const;
    };
    struct key
    {
        base::workspace_id workspace_;
        base::pool_id pool_;

        bool operator==(key const&) const = default;

        template <class H>
        friend H AbslHashValue(H state, key const& k)
        {
            return H::combine(std::move(state), k.workspace_, k.pool_);
        }
    };
    struct history
    {
        running_mean mean_;
        std::list<key>::iterator recent_position_;
    };

    std::size_t capacity_;
    absl::flat_hash_map<key, history> histories_;
    /// Most recent first.
    std::list<key> recent_;
    std::array<running_mean, base::max_tiers> tiers_{};
};

} // namespace tanagerlead::sched
