#include "src/sched/pending_refusals.hpp"

#include <algorithm>

namespace tanagerlead::sched
{

using namespace std::chrono_literals;

namespace
{

constexpr base::duration min_retry_after = 200ms;
constexpr base::duration max_retry_after = 20min;
/// Retry times vary by up to this fraction in both directions.
constexpr double retry_jitter = 0.25;

} // namespace

void pending_refusals::add(work_item const& item, refusal_cause cause,
                           double retry_seconds)
{
    auto const factor = 1 + retry_jitter * (2 * random_.uniform() - 1);
    auto const retry_after = base::from_seconds(
        std::min(retry_seconds * factor, base::seconds(max_retry_after)));
    requests_.insert(item.request_);
    refusals_.push_back({item.request_, item.entry_, cause,
                         std::max(retry_after, min_retry_after)});
}

void pending_refusals::remove(base::request_id request)
{
    if (requests_.erase(request) > 0)
    {
        std::erase_if(refusals_,
                      [&](auto const& r) { return r.request_ == request; });
    }
}

void pending_refusals::flush(std::vector<action>& out)
{
    out.insert(out.end(), refusals_.begin(), refusals_.end());
    refusals_.clear();
    requests_.clear();
}

} // namespace tanagerlead::sched
