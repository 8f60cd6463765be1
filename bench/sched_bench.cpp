// Processor time of a scheduling decision: one request arrives, one answer
// ends, one request is granted; 16 targets and 12,000 workspaces.

#include "src/base/random.hpp"
#include "src/sched/cell_scheduler.hpp"

#include <cstdio>
#include <ctime>
#include <deque>
#include <memory>
#include <string>
#include <vector>

using namespace tanagerlead;
using namespace std::chrono_literals;

namespace
{

constexpr int targets = 16;
constexpr int slots = 64;
constexpr int workspaces = 12'000;
constexpr int tiers = 3;
constexpr int decisions = 100'000;
/// Requests that wait throughout.
constexpr int backlog = 20'000;

sched::cell_settings settings()
{
    sched::cell_settings s;
    for (int i = 0; i < targets; ++i)
    {
        config::target_config t;
        t.id_ = base::target_id{"target-" + std::to_string(i)};
        t.pools_ = {base::pool_id{"report"}};
        t.slots_ = slots;
        t.generation_ = i % 3;
        s.targets_.push_back(t);
    }
    for (int i = 0; i < tiers; ++i)
    {
        s.tiers_.push_back({static_cast<base::tier>(i), "", 1h});
    }
    for (int i = 0; i < workspaces; ++i)
    {
        config::workspace_config w;
        w.id_ = base::workspace_id{"workspace-" + std::to_string(i)};
        s.workspaces_.push_back(w);
    }
    return s;
}

class decision_loop
{
public:
    decision_loop(char const* policy, int prefix_blocks)
        : scheduler_{sched::make_scheduler(policy)}, prefix_blocks_{
                                                         prefix_blocks}
    {
        scheduler_->configure(settings());
        for (int i = 0; i < backlog; ++i)
        {
            scheduler_->enqueue(next_item(), now_);
        }
        decide();
    }

    double nanoseconds_per_decision()
    {
        std::vector<sched::work_item> items;
        items.reserve(decisions);
        for (int i = 0; i < decisions; ++i)
        {
            items.push_back(next_item());
        }
        auto const granted = granted_;
        auto const start = std::clock();
        for (int i = 0; i < decisions; ++i)
        {
            now_ += 100us;
            scheduler_->enqueue(items[static_cast<std::size_t>(i)], now_);
            finish();
            decide();
        }
        auto const ticks = static_cast<double>(std::clock() - start);
        return ticks * 1e9 / CLOCKS_PER_SEC /
               static_cast<double>(granted_ - granted);
    }

    std::size_t waiting() const { return scheduler_->waiting(); }

private:
    sched::work_item next_item()
    {
        sched::work_item i;
        i.request_ = {1, ++number_};
        i.entry_ = entry_;
        auto const who = random_.below(workspaces);
        i.workspace_ = base::workspace_id{"workspace-" + std::to_string(who)};
        i.pool_ = pool_;
        i.tier_ = static_cast<base::tier>(random_.below(tiers));
        i.prompt_tokens_ = 200 + prefix_blocks_ * sched::prefix_block_tokens;
        i.max_output_tokens_ = 400;
        i.fingerprint_ = number_;
        i.received_ = now_;
        for (int b = 0; b < prefix_blocks_; ++b)
        {
            i.prefix_.push_back((who << 10U) + static_cast<unsigned>(b));
        }
        return i;
    }

    void finish()
    {
        if (running_.empty())
        {
            return;
        }
        auto const g = running_.front();
        running_.pop_front();
        sched::dispatch_report r;
        r.request_ = g.request_;
        r.target_ = g.target_;
        r.event_ = sched::dispatch_event::first_token;
        r.elapsed_ = 200ms;
        scheduler_->report(r, now_);
        r.event_ = sched::dispatch_event::finished;
        r.elapsed_ = 2s;
        r.output_tokens_ = 100;
        scheduler_->report(r, now_);
    }

    void decide()
    {
        actions_.clear();
        scheduler_->advance(now_, actions_);
        for (auto const& a : actions_)
        {
            if (auto const* g = std::get_if<sched::grant>(&a))
            {
                running_.push_back(*g);
                ++granted_;
            }
        }
    }

    std::unique_ptr<sched::cell_scheduler> scheduler_;
    int prefix_blocks_;
    base::random_source random_{1};
    base::time_point now_{};
    base::daemon_id entry_{"d1"};
    base::pool_id pool_{"report"};
    std::uint64_t number_ = 0;
    std::size_t granted_ = 0;
    std::deque<sched::grant> running_;
    std::vector<sched::action> actions_;
};

} // namespace

int main()
{
    std::printf("%-20s %14s %12s %12s\n", "policy", "prefix blocks",
                "ns/decision", "waiting");
    for (auto const* policy :
         {"tanagerlead", "least_outstanding", "fifo_round_robin"})
    {
        for (int const blocks : {0, 16, 128})
        {
            decision_loop loop{policy, blocks};
            auto const nanoseconds = loop.nanoseconds_per_decision();
            std::printf("%-20s %14d %12.0f %12zu\n", policy, blocks,
                        nanoseconds, loop.waiting());
        }
    }
    return 0;
}
