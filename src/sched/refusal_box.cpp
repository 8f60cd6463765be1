#include "src/sched/refusal_box.hpp"

#include <algorithm>

namespace tanagerlead::sched
{

using namespace std::chrono_literals;

namespace
{

constexpr base::duration least_retry = 200ms;
constexpr base::duration longest_retry = 20min;
/// Advice varies by this part of itself to both sides.
constexpr double retry_jitter = 0.25;

} // namespace

void refusal_box::add(work_item const& item, refusal_cause cause,
                      double retry_seconds)
{
    auto const factor = 1 + retry_jitter * (2 * random_.uniform() - 1);
    auto const advice = base::from_seconds(
        std::min(retry_seconds * factor, base::seconds(longest_retry)));
    requests_.insert(item.request_);
    refusals_.push_back(
        {item.request_, item.entry_, cause, std::max(advice, least_retry)});
}

void refusal_box::remove(base::request_id request)
{
    if (requests_.erase(request) > 0)
    {
        std::erase_if(refusals_,
                      [&](auto const& r) { return r.request_ == request; });
    }
}

void refusal_box::flush(std::vector<action>& out)
{
    out.insert(out.end(), refusals_.begin(), refusals_.end());
    refusals_.clear();
    requests_.clear();
}

} // namespace tanagerlead::sched
