#include "tools/load/plan.hpp"

#include "src/base/random.hpp"
#include "tests/fakes/answer_text.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace tanagerlead::load
{

namespace
{

constexpr std::uint64_t seed_stride = 0x632be59bd9b4e019U;

/// Arrivals and contents of one workspace.
class workspace_planner
{
public:
    workspace_planner(workspace_load const& load, std::size_t index,
                      std::uint64_t seed)
        : load_{load}, index_{index}, random_{seed + seed_stride * (index + 1)},
          shared_{words(load.threads_.shared_tokens_)},
          threads_(static_cast<std::size_t>(load.threads_.count_))
    {
    }

    void append(base::duration length, std::vector<planned_request>& plan)
    {
        auto const mean_gap = load_.burst_ / load_.rate_per_s_;
        auto at = load_.start_;
        while (true)
        {
            at += base::from_seconds(-std::log(1.0 - random_.uniform()) *
                                     mean_gap);
            if (at >= length)
            {
                return;
            }
            for (int i = 0; i < load_.burst_; ++i)
            {
                plan.push_back(make(at));
            }
        }
    }

private:
    struct conversation
    {
        std::vector<message> messages_;
        int turns_ = 0;
    };

    planned_request make(base::duration at)
    {
        planned_request request;
        request.at_ = at;
        request.workspace_ = index_;
        request.output_tokens_ = draw(load_.output_tokens_);
        request.messages_ = next_messages();
        if (load_.kind_ == request_kind::service)
        {
            request.expected_ = request.messages_.back().text_;
            if (random_.uniform() < load_.non_idempotent_part_)
            {
                request.idempotency_key_ = "load-" + words(1);
            }
            return request;
        }
        auto const prompt = fakes::read_prompt(prompt_text(request));
        request.expected_ =
            fakes::answer_text(prompt.hash_, request.output_tokens_);
        remember(request);
        return request;
    }

    std::vector<message> next_messages()
    {
        auto const fresh = words(draw(load_.prompt_tokens_));
        if (threads_.empty())
        {
            return {{false, fresh}};
        }
        auto& thread = threads_[next_thread_];
        if (thread.turns_ == load_.threads_.turns_)
        {
            thread = {};
        }
        if (thread.messages_.empty() && !shared_.empty())
        {
            thread.messages_.push_back({false, shared_});
        }
        thread.messages_.push_back({false, fresh});
        return thread.messages_;
    }

    void remember(planned_request const& request)
    {
        if (threads_.empty())
        {
            return;
        }
        auto& thread = threads_[next_thread_];
        thread.messages_.push_back({true, request.expected_});
        ++thread.turns_;
        next_thread_ = (next_thread_ + 1) % threads_.size();
    }

    base::token_count draw(length_range range)
    {
        auto const ratio = static_cast<double>(range.most_) /
                           static_cast<double>(range.least_);
        auto const drawn = static_cast<double>(range.least_) *
                           std::pow(ratio, random_.uniform());
        return std::clamp(static_cast<base::token_count>(std::llround(drawn)),
                          range.least_, range.most_);
    }

    std::string words(base::token_count count)
    {
        constexpr std::size_t digits = 13;
        std::string text;
        for (base::token_count i = 0; i < count; ++i)
        {
            std::array<char, digits> word{};
            std::snprintf(word.data(), word.size(), "w%08x",
                          static_cast<unsigned>(random_()));
            text += i == 0 ? "" : " ";
            text += word.data();
        }
        return text;
    }

    workspace_load const& load_;
    std::size_t index_;
    base::random_source random_;
    std::string shared_;
    std::vector<conversation> threads_;
    std::size_t next_thread_ = 0;
};

} // namespace

std::vector<planned_request> make_plan(scenario const& from)
{
    std::vector<planned_request> plan;
    for (std::size_t i = 0; i < from.workspaces_.size(); ++i)
    {
        workspace_planner planner{from.workspaces_[i], i, from.seed_};
        planner.append(from.length_, plan);
    }
    std::stable_sort(plan.begin(), plan.end(),
                     [](planned_request const& a, planned_request const& b)
                     { return a.at_ < b.at_; });
    for (std::size_t i = 0; i < plan.size(); ++i)
    {
        plan[i].number_ = i;
    }
    return plan;
}

std::string prompt_text(planned_request const& request)
{
    std::string text;
    for (auto const& one : request.messages_)
    {
        text += one.text_;
        text += '\n';
    }
    return text;
}

} // namespace tanagerlead::load
