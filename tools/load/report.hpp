#pragma once

#include "tools/load/engine_logs.hpp"
#include "tools/load/result.hpp"
#include "tools/load/scenario.hpp"

#include <map>
#include <string>
#include <vector>

namespace tanagerlead::load
{

/// What one tier, or one workspace, got.
struct load_summary
{
    std::string name_;
    std::int64_t offered_ = 0;
    std::int64_t complete_ = 0;
    /// Complete within the deadline.
    std::int64_t in_time_ = 0;
    std::int64_t unknown_ = 0;
    std::int64_t cut_ = 0;
    std::int64_t wrong_ = 0;
    std::map<std::string, std::int64_t> refused_;
    std::map<std::string, std::int64_t> failed_;
    /// Of complete requests, unsorted until `make_report` is done.
    std::vector<base::duration> first_tokens_;
    std::vector<base::duration> gaps_;

    /// `in_time_` as a part of `offered_`.
    double goodput_part() const;
};

struct load_report
{
    base::duration length_{};
    std::vector<load_summary> tiers_;
    std::vector<load_summary> workspaces_;
    base::token_count prefilled_tokens_ = 0;
    base::token_count needed_tokens_ = 0;
    /// Requests dispatched more than once.
    std::int64_t doubled_ = 0;
    /// Requests answered `not_run` that a target's log holds.
    std::int64_t false_refusals_ = 0;
    int missing_logs_ = 0;
    /// First token at the caller less first token inside the engine, sorted.
    std::vector<base::duration> path_times_;
    /// Latest start after its planned arrival.
    base::duration latest_start_{};

    base::token_count wasted_tokens() const
    {
        return prefilled_tokens_ - needed_tokens_;
    }
};

load_report make_report(scenario const& from,
                        std::vector<planned_request> const& plan,
                        std::vector<request_result> const& results,
                        engine_logs const& before, engine_logs const& after);

std::string to_text(load_report const& report);
std::string to_json(load_report const& report);

/// Value below which the part `q` in [0, 1] of the sorted values lies.
base::duration percentile(std::vector<base::duration> const& sorted, double q);

} // namespace tanagerlead::load
