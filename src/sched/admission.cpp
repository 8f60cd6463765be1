#include "src/sched/admission.hpp"

#include <algorithm>

namespace tanagerlead::sched
{

using namespace std::chrono_literals;

namespace
{

/// Longest wait of a tier that the configuration does not name.
constexpr base::duration default_longest_wait = 30s;
/// A request is admitted when its predicted wait is at most this fraction of
/// its longest wait. With all of it, those at the end of the queue would be
/// refused just before their turn.
constexpr double admission_fraction = 0.8;
/// Limit on the waiting requests of all tiers together.
constexpr std::size_t max_waiting_requests = 32768;

std::size_t total_waiting(waiting_queue const& queue)
{
    std::size_t sum = 0;
    for (std::size_t t = 0; t < base::max_tiers; ++t)
    {
        sum += queue.size(static_cast<base::tier>(t));
    }
    return sum;
}

double cumulative_backlog(waiting_queue const& queue, base::tier t)
{
    double sum = 0;
    for (std::size_t i = 0; i <= base::index(t); ++i)
    {
        sum += queue.backlog(static_cast<base::tier>(i));
    }
    return sum;
}

} // namespace

admission::admission()
{
    longest_wait_.fill(default_longest_wait);
}

void admission::configure(cell_settings const& settings)
{
    longest_wait_.fill(default_longest_wait);
    lowest_configured_ = base::tier{0};
    for (auto const& t : settings.tiers_)
    {
        longest_wait_.at(base::index(t.tier_)) = t.longest_wait_;
        lowest_configured_ = std::max(lowest_configured_, t.tier_);
    }
}

base::duration admission::longest_wait(base::tier t) const
{
    return longest_wait_.at(base::index(t));
}

bool admission::may_shed(base::tier t, base::time_point now) const
{
    auto const permitted = t >= highest_shed_ || t >= lowest_configured_;
    return permitted && gate_.may_shed(t, now);
}

double admission::predicted_wait(waiting_queue const& queue,
                                 base::workspace_id const& workspace,
                                 base::tier t, double service_rate)
{
    return service_rate <= 0 ? 0
                             : queue.cost_ahead(workspace, t) / service_rate;
}

std::optional<refusal_cause>
admission::refusal_for(waiting_request const& request,
                       waiting_queue const& queue, double service_rate,
                       base::time_point now) const
{
    auto const& item = request.item_;
    auto const wait = base::from_seconds(
        predicted_wait(queue, item.workspace_, item.tier_, service_rate));
    if (request.expiry_cause_ == refusal_cause::deadline &&
        now + wait >= request.expires_)
    {
        return refusal_cause::deadline;
    }
    auto const longest = base::from_seconds(
        base::seconds(longest_wait(item.tier_)) * admission_fraction);
    if (wait > longest && may_shed(item.tier_, now))
    {
        return refusal_cause::overloaded;
    }
    return std::nullopt;
}

double admission::excess_wait_seconds(waiting_queue const& queue, base::tier t,
                                      double service_rate) const
{
    if (service_rate <= 0 || queue.size(t) == 0)
    {
        return 0;
    }
    auto const wait = cumulative_backlog(queue, t) / service_rate;
    auto const longest = base::seconds(longest_wait(t));
    return wait > longest ? wait - longest * admission_fraction : 0;
}

std::vector<waiting_request*>
admission::requests_to_shed(waiting_queue const& queue, double service_rate,
                            base::time_point now) const
{
    auto const total = total_waiting(queue);
    for (auto i = base::max_tiers; i-- > 0;)
    {
        auto const t = static_cast<base::tier>(i);
        if (queue.size(t) == 0)
        {
            continue;
        }
        auto cost = excess_wait_seconds(queue, t, service_rate) * service_rate;
        if (total > max_waiting_requests)
        {
            auto const fraction =
                static_cast<double>(total - max_waiting_requests) /
                static_cast<double>(queue.size(t));
            cost = std::max(cost, queue.backlog(t) * std::min(fraction, 1.0));
        }
        if (cost > 0 && may_shed(t, now))
        {
            return queue.victims(t, cost);
        }
    }
    return {};
}

std::optional<base::tier> admission::pressure(waiting_queue const& queue,
                                              double service_rate) const
{
    for (std::size_t i = 0; i < base::max_tiers && service_rate > 0; ++i)
    {
        auto const t = static_cast<base::tier>(i);
        auto const wait = cumulative_backlog(queue, t) / service_rate;
        if (queue.size(t) > 0 &&
            wait > base::seconds(longest_wait(t)) * admission_fraction)
        {
            return t;
        }
    }
    return std::nullopt;
}

} // namespace tanagerlead::sched
