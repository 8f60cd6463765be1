#include "src/sched/target_choice.hpp"

#include <algorithm>
#include <limits>

namespace tanagerlead::sched
{

using namespace std::chrono_literals;

namespace
{

/// Seconds that one more request outstanding counts, so that equal targets
/// fill up evenly.
constexpr double tie_break = 1e-4;
constexpr double longest_wait_for_prefix = 2.0;
/// A wait may last this multiple of what was predicted.
constexpr double wait_slack = 2.0;
/// A straggler or a target that came back is tried this often.
constexpr base::duration probe_interval = 2s;

/// Seconds until a request sent now would end.
double finish(target_state const& t, waiting_request const& request,
              base::token_count cached, base::time_point now)
{
    auto const& speed = t.speed();
    auto const others = t.load_.others(now);
    auto const load = t.outstanding_ + others + 1;
    workload const work{
        std::max<base::token_count>(request.item_.prompt_tokens_ - cached, 0) +
            t.prefilling_,
        request.expected_output_, static_cast<double>(load)};
    auto const beyond = load - std::max(t.config_.slots_, t.allowed_);
    auto const queue =
        beyond > 0 ? speed.mean_service() * beyond / std::max(t.allowed_, 1)
                   : 0.0;
    return queue + speed.service(work) + tie_break * t.outstanding_;
}

base::token_count cached_at(target_state const& t,
                            waiting_request const& request)
{
    return std::min(t.prefixes_.cached(request.item_.prefix_),
                    request.item_.prompt_tokens_);
}

/// Seconds until a full target should have room for one more.
double time_to_room(target_state const& t)
{
    auto const ahead = t.waiting_for_ + 1;
    return t.speed().mean_service() * ahead / std::max(t.outstanding_, 1);
}

struct prediction
{
    target_state* target_ = nullptr;
    double seconds_ = std::numeric_limits<double>::max();
    base::token_count cached_ = 0;
};

prediction best_of(std::span<target_state* const> targets,
                   waiting_request const& request, base::time_point now)
{
    prediction best;
    for (auto* const t : targets)
    {
        auto const cached = cached_at(*t, request);
        auto const seconds = finish(*t, request, cached, now);
        if (seconds < best.seconds_)
        {
            best = {t, seconds, cached};
        }
    }
    return best;
}

// A target that looks slow is never the best choice while others have room,
// so without probes it could not show that it has recovered. The first tier is
// spared.
target_state* due_probe(std::span<target_state* const> targets,
                        waiting_request const& request, base::time_point now)
{
    auto const spared = request.item_.tier_ == base::tier{0};
    auto const interval = spared ? probe_interval * 5 : probe_interval;
    for (auto* const t : targets)
    {
        if (t->slowness_.straggles() && t->outstanding_ == 0 &&
            now - t->last_grant_ >= interval)
        {
            return t;
        }
    }
    return nullptr;
}

} // namespace

placement round_robin_choice::choose(waiting_request const&,
                                     candidates const& from, base::time_point)
{
    return {from.usable_[turn_++ % from.usable_.size()], {}};
}

placement least_outstanding_choice::choose(waiting_request const&,
                                           candidates const& from,
                                           base::time_point)
{
    return {*std::min_element(from.usable_.begin(), from.usable_.end(),
                              [](auto const* a, auto const* b)
                              { return a->outstanding_ < b->outstanding_; }),
            {}};
}

placement earliest_finish_choice::choose(waiting_request const& request,
                                         candidates const& from,
                                         base::time_point now)
{
    if (auto* const probe = due_probe(from.usable_, request, now))
    {
        return {probe, {}};
    }
    auto const best = best_of(from.usable_, request, now);
    placement chosen{best.target_, {}};
    auto sooner = best.seconds_;
    for (auto* const t : from.full_)
    {
        auto const cached = cached_at(*t, request);
        auto const wait = time_to_room(*t);
        auto const seconds = wait + finish(*t, request, cached, now);
        if (cached > best.cached_ && wait < longest_wait_for_prefix &&
            seconds < sooner)
        {
            sooner = seconds;
            chosen = {t, base::from_seconds(wait * wait_slack)};
        }
    }
    return chosen;
}

} // namespace tanagerlead::sched
