#pragma once

#include "src/routing/dispatcher.hpp"

#include <string>

namespace tanagerlead::routing::testing
{

using namespace std::chrono_literals;

inline base::time_point at(base::duration since_start)
{
    // Well after the clock's zero, as on a running host.
    return base::time_point{1h} + since_start;
}

inline target_info target(std::string const& id, int slots = 1,
                          std::string const& pool = "llm",
                          std::string const& data_centre = "near")
{
    target_info out;
    out.id_ = base::target_id{id};
    out.pool_ = base::pool_id{pool};
    out.address_ = {"10.0.0.1", 80};
    out.data_centre_ = base::data_centre_id{data_centre};
    out.slots_ = slots;
    return out;
}

inline pending_call call(std::uint64_t number, std::uint8_t tier = 0,
                         std::string const& workspace = "shop")
{
    pending_call out;
    out.work_.request_ = {1, number};
    out.work_.workspace_ = base::workspace_id{workspace};
    out.work_.pool_ = base::pool_id{"llm"};
    out.work_.tier_ = base::tier{tier};
    out.work_.prompt_tokens_ = 100;
    out.work_.max_output_tokens_ = 10;
    out.work_.received_ = at(0s);
    out.work_.deadline_ = at(60s);
    out.objective_ = 1s;
    return out;
}

/// Runs one dispatcher and records its grants and refusals.
class driver
{
public:
    explicit driver(peer_table& peers, bool weighs_kept_prompts = false)
        : dispatcher_{
              {base::data_centre_id{"near"}, 1, {}, weighs_kept_prompts}, peers}
    {
    }

    dispatcher* operator->() { return &dispatcher_; }

    /// Submits a call whose caller waits for 10 s, and advances.
    void submit(std::uint64_t number, base::time_point now)
    {
        auto c = call(number);
        c.work_.received_ = now;
        c.work_.deadline_ = now + 10s;
        dispatcher_.submit(c, now);
        advance(now);
    }

    void advance(base::time_point now)
    {
        std::vector<sched::action> actions;
        dispatcher_.advance(now, actions);
        for (auto const& action : actions)
        {
            if (auto const* const g = std::get_if<sched::grant>(&action))
            {
                granted_.push_back(*g);
            }
            else
            {
                refused_.push_back(std::get<sched::refusal>(action));
            }
        }
    }

    std::vector<std::uint64_t> granted_numbers() const
    {
        std::vector<std::uint64_t> out;
        for (auto const& g : granted_)
        {
            out.push_back(g.request_.sequence_);
        }
        return out;
    }

    std::vector<sched::grant> granted_;
    std::vector<sched::refusal> refused_;

private:
    dispatcher dispatcher_;
};

} // namespace tanagerlead::routing::testing
