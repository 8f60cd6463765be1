#include "tools/load/runner.hpp"

#include <algorithm>
#include <atomic>
#include <thread>

namespace tanagerlead::load
{

std::vector<request_result> run_plan(std::vector<planned_request> const& plan,
                                     caller& sender, std::size_t threads)
{
    std::vector<request_result> results(plan.size());
    std::atomic<std::size_t> next{0};
    base::steady_clock const clock;
    // Time for the threads to start.
    auto const start = clock.now() + std::chrono::milliseconds{100};
    auto const work = [&]
    {
        for (auto i = next++; i < plan.size(); i = next++)
        {
            auto const arrival = start + plan[i].at_;
            std::this_thread::sleep_for(arrival - clock.now());
            results[i] = sender.run(plan[i], arrival);
        }
    };
    std::vector<std::thread> pool;
    for (std::size_t i = 0; i < std::min(threads, plan.size()); ++i)
    {
        pool.emplace_back(work);
    }
    for (auto& one : pool)
    {
        one.join();
    }
    return results;
}

} // namespace tanagerlead::load
