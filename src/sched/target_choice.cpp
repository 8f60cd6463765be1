#include "src/sched/target_choice.hpp"

#include <algorithm>

namespace tanagerlead::sched
{

using namespace std::chrono_literals;

namespace
{

/// Seconds added to the score for each outstanding request, so that equal
/// targets fill up evenly.
constexpr double outstanding_weight = 1e-4;
constexpr double max_prefix_wait = 2.0;
/// A wait may last this multiple of the predicted wait.
constexpr double wait_slack_factor = 2.0;
/// An idle straggler gets a probe this often.
constexpr base::duration probe_interval = 2s;

/// Smaller differences in cached tokens between targets are ignored.
constexpr base::token_count min_cached_difference = 2 * prefix_block_tokens;

base::token_count cached_at(target_state const& t,
                            waiting_request const& request)
{
    return std::min(t.prefixes_.cached(request.item_.prefix_),
                    request.item_.prompt_tokens_);
}

/// Predicted seconds until the target has room for one more request.
double time_until_room(target_state const& t)
{
    if (t.has_room())
    {
        return 0;
    }
    auto const ahead = t.waiting_count_ + 1;
    return t.speed().mean_service_time() * ahead / std::max(t.outstanding_, 1);
}

/// Predicted seconds in the queue of the target itself.
double target_queue_delay(target_state const& t, int load)
{
    auto const excess = load - std::max(t.config_.slots_, t.max_outstanding_);
    return excess > 0 ? t.speed().mean_service_time() * excess /
                            std::max(t.max_outstanding_, 1)
                      : 0.0;
}

// A prefill delays the other answers of its target too, so it counts once for
// each of them. What it evicts from a full cache will be prefilled again, so it
// counts twice there. When targets differ in what they have cached, only wait
// and prefill are compared: otherwise a fast target would attract every
// conversation away from its cached prefix by its decode speed.
double score_of(scored_target const& p, waiting_request const& request,
                bool prefix_decides, base::time_point now)
{
    auto const& t = *p.target_;
    auto const& speed = t.speed();
    auto const load = t.outstanding_ + t.load_.other_requests(now) + 1;
    auto const uncached = std::max<base::token_count>(
        request.item_.prompt_tokens_ - p.cached_, 0);
    auto const stalled_answers =
        std::min(load, std::max(t.max_outstanding_, 1)) - 1;
    auto const prefill_count = t.prefixes_.full() ? 2 : 1;
    auto const prefill =
        speed.first_token(t.prefilling_) +
        (1 + stalled_answers) * prefill_count * speed.prefill(uncached);
    auto const tokens = prefix_decides ? 0 : request.expected_output_tokens_;
    auto const decode = static_cast<double>(tokens) * speed.step(load);
    return p.wait_ + target_queue_delay(t, load) + prefill + decode +
           outstanding_weight * t.outstanding_;
}

/// Whether some targets have much more of the prompt cached than others.
bool cached_prefixes_differ(std::span<scored_target const> all)
{
    auto const [least, most] = std::minmax_element(
        all.begin(), all.end(),
        [](auto const& a, auto const& b) { return a.cached_ < b.cached_; });
    return most->cached_ - least->cached_ >= min_cached_difference;
}

// A straggler is never the best choice while others have room, so without
// probes it could not show that it has recovered. Requests of the top tier are
// spared: they become probes only after five times the interval.
target_state* find_due_probe(std::span<target_state* const> targets,
                             waiting_request const& request,
                             base::time_point now)
{
    auto const is_top_tier = request.item_.tier_ == base::tier{0};
    auto const interval = is_top_tier ? probe_interval * 5 : probe_interval;
    for (auto* const t : targets)
    {
        if (t->slowness_.is_straggler() && t->outstanding_ == 0 &&
            now - t->last_grant_ >= interval)
        {
            return t;
        }
    }
    return nullptr;
}

} // namespace

placement round_robin_choice::choose(waiting_request const&,
                                     candidates const& eligible,
                                     base::time_point)
{
    return {eligible.usable_[next_index_++ % eligible.usable_.size()], {}};
}

placement least_outstanding_choice::choose(waiting_request const&,
                                           candidates const& eligible,
                                           base::time_point)
{
    return {*std::min_element(eligible.usable_.begin(), eligible.usable_.end(),
                              [](auto const* a, auto const* b)
                              { return a->outstanding_ < b->outstanding_; }),
            {}};
}

// A full target is considered only when it has more of the prompt cached than
// any target with room, and only for a short wait.
void earliest_finish_choice::collect_targets(waiting_request const& request,
                                             candidates const& eligible)
{
    scored_targets_.clear();
    base::token_count most = 0;
    for (auto* const t : eligible.usable_)
    {
        auto const cached = cached_at(*t, request);
        scored_targets_.push_back({t, cached, 0, 0});
        most = std::max(most, cached);
    }
    if (request.item_.prefix_.empty())
    {
        return;
    }
    for (auto* const t : eligible.full_)
    {
        auto const cached = cached_at(*t, request);
        auto const wait = time_until_room(*t);
        if (cached >= most + min_cached_difference && wait < max_prefix_wait)
        {
            scored_targets_.push_back({t, cached, wait, 0});
        }
    }
}

placement earliest_finish_choice::choose(waiting_request const& request,
                                         candidates const& eligible,
                                         base::time_point now)
{
    if (auto* const probe = find_due_probe(eligible.usable_, request, now))
    {
        return {probe, {}};
    }
    collect_targets(request, eligible);
    auto const prefix_decides = cached_prefixes_differ(scored_targets_);
    scored_target const* best = nullptr;
    for (auto& p : scored_targets_)
    {
        p.score_ = score_of(p, request, prefix_decides, now);
        if (best == nullptr || p.score_ < best->score_)
        {
            best = &p;
        }
    }
    return {best->target_, base::from_seconds(best->wait_ * wait_slack_factor)};
}

} // namespace tanagerlead::sched
