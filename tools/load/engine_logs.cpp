#include "tools/load/engine_logs.hpp"

#include "src/external/http_client.hpp"
#include "tests/fakes/answer_text.hpp"

#include <nlohmann/json.hpp>

#include <unordered_set>

namespace tanagerlead::load
{

namespace
{

constexpr external::http_timeouts log_timeouts{std::chrono::seconds{1},
                                               std::chrono::seconds{10}};

bool add_log(base::address const& control, engine_logs& logs)
{
    auto const got = external::get(control, "/fake/log", log_timeouts);
    if (!got)
    {
        return false;
    }
    auto const json = nlohmann::json::parse(got.value().body_, nullptr, false);
    if (!json.is_object())
    {
        return false;
    }
    logs.prefilled_tokens_ += json["totals"].value("prefilled_tokens", 0);
    std::map<std::string, int> here;
    for (auto const& one : json["requests"])
    {
        auto const id = one["id"].get<std::string>();
        here[id] = one["count"].get<int>();
        if (one.contains("first_token_ms"))
        {
            auto const ms = one["first_token_ms"].get<double>();
            logs.first_tokens_[id] = base::from_seconds(ms / 1e3);
        }
    }
    for (auto const& [id, count] : here)
    {
        logs.dispatches_[id] += count;
    }
    return true;
}

} // namespace

engine_logs read_logs(std::vector<base::address> const& controls)
{
    engine_logs logs;
    for (auto const& control : controls)
    {
        logs.missing_ += add_log(control, logs) ? 0 : 1;
    }
    return logs;
}

base::token_count needed_prefill(std::vector<planned_request> const& plan,
                                 std::vector<request_result> const& results,
                                 scenario const& from)
{
    std::unordered_set<std::uint64_t> seen;
    base::token_count needed = 0;
    for (std::size_t i = 0; i < plan.size(); ++i)
    {
        auto const& workspace = from.workspaces_[plan[i].workspace_];
        if (results[i].kind_ != result_kind::complete ||
            workspace.kind_ != request_kind::model)
        {
            continue;
        }
        auto const text = prompt_text(plan[i]);
        auto const prompt = fakes::read_prompt(text);
        auto covered = base::token_count{0};
        for (auto const block : prompt.chain_.blocks())
        {
            if (seen.count(block) == 0)
            {
                break;
            }
            covered += fakes::cache_block_tokens;
        }
        needed += prompt.tokens_ - covered;
        auto const whole = fakes::read_prompt(text + plan[i].expected_);
        seen.insert(whole.chain_.blocks().begin(), whole.chain_.blocks().end());
    }
    return needed;
}

} // namespace tanagerlead::load
