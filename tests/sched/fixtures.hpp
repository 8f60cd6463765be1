#pragma once

#include "src/sched/cell_scheduler.hpp"
#include "src/sched/waiting_request.hpp"

#include <memory>
#include <string>
#include <vector>

/// Builders shared by the scheduling tests.
namespace tanagerlead::sched::testing
{

using namespace std::chrono_literals;

inline base::time_point at(base::duration since_start)
{
    return base::time_point{} + since_start;
}

inline work_item item(std::uint64_t number, std::string const& workspace,
                      int tier, base::time_point received = {})
{
    work_item i;
    i.request_ = {1, number};
    i.entry_ = base::daemon_id{"d1"};
    i.workspace_ = base::workspace_id{workspace};
    i.pool_ = base::pool_id{"report"};
    i.tier_ = static_cast<base::tier>(tier);
    i.prompt_tokens_ = 100;
    i.max_output_tokens_ = 400;
    i.fingerprint_ = number;
    i.received_ = received;
    return i;
}

inline config::target_config target(std::string const& id, int slots)
{
    config::target_config t;
    t.id_ = base::target_id{id};
    t.pools_ = {base::pool_id{"report"}};
    t.slots_ = slots;
    return t;
}

inline cell_settings cell(int targets, int slots)
{
    cell_settings s;
    for (int i = 0; i < targets; ++i)
    {
        s.targets_.push_back(target("t" + std::to_string(i), slots));
    }
    for (int t = 0; t < 3; ++t)
    {
        s.tiers_.push_back({static_cast<base::tier>(t), "", 30s});
    }
    return s;
}

inline dispatch_report report(grant const& g, dispatch_event event,
                              base::duration elapsed = 1s)
{
    dispatch_report r;
    r.request_ = g.request_;
    r.target_ = g.target_;
    r.event_ = event;
    r.elapsed_ = elapsed;
    r.output_tokens_ = 100;
    return r;
}

/// The decisions of one call to `advance`, by kind.
struct decisions
{
    std::vector<grant> grants_;
    std::vector<refusal> refusals_;
};

inline decisions advance(cell_scheduler& s, base::time_point now)
{
    std::vector<action> actions;
    s.advance(now, actions);
    decisions d;
    for (auto const& a : actions)
    {
        if (auto const* g = std::get_if<grant>(&a))
        {
            d.grants_.push_back(*g);
        }
        else
        {
            d.refusals_.push_back(std::get<refusal>(a));
        }
    }
    return d;
}

} // namespace tanagerlead::sched::testing
