#include "tests/cell/cluster.hpp"

#include <array>
#include <chrono>
#include <cstdio>
#include <deque>

// What one request costs between its entry and the owner of its cell: real
// policy, real messages, encoded and decoded, in virtual time. Requests arrive
// at the given rate and run for a second.

using namespace tanagerlead;
using namespace std::chrono_literals;

namespace
{

struct row
{
    int per_second_ = 0;
    int slots_ = 0;
};

constexpr int requests = 4000;
constexpr base::duration run_time = 1s;

struct running
{
    cell::recorded_decision decided_;
    base::time_point ends_;
};

void finish_due(cell::cluster& cluster, std::deque<running>& active)
{
    for (auto const& recorded : cluster.take_new_decisions())
    {
        active.push_back({recorded, cluster.now() + run_time});
    }
    while (!active.empty() && active.front().ends_ <= cluster.now())
    {
        auto const done = active.front().decided_;
        active.pop_front();
        auto const* order =
            std::get_if<request::dispatch_to>(&done.decided_.decision_);
        if (order != nullptr)
        {
            cluster.report(done.node_, done.decided_.request_, order->target_,
                           sched::dispatch_event::started);
            cluster.report(done.node_, done.decided_.request_, order->target_,
                           sched::dispatch_event::first_token);
            cluster.report(done.node_, done.decided_.request_, order->target_,
                           sched::dispatch_event::finished);
        }
    }
}

void measure(row const& r, bool at_owner)
{
    cell::cluster cluster{2, 1, false,
                          []
                          {
                              return sched::make_scheduler("tanagerlead");
                          }};
    cluster.set_config(cell::small_configuration(16, r.slots_));
    cluster.run_for(1s);
    auto const owner = cluster.owner();
    auto const entry = at_owner ? owner : 1 - owner;
    std::deque<running> active;
    auto const datagrams = cluster.datagrams();
    auto const bytes = cluster.bytes();
    auto const begin = std::chrono::steady_clock::now();
    for (int i = 0; i < requests; ++i)
    {
        cluster.submit(entry);
        cluster.run_for(base::duration{1s} / r.per_second_);
        finish_due(cluster, active);
    }
    auto const spent = std::chrono::steady_clock::now() - begin;
    auto const us = std::chrono::duration<double, std::micro>(spent).count();
    std::printf("%-6s %5d/s %4d slots: %6.2f datagrams, %6.0f bytes, %6.1f us "
                "a request, both ends\n",
                at_owner ? "owner" : "entry", r.per_second_, 16 * r.slots_,
                double(cluster.datagrams() - datagrams) / requests,
                double(cluster.bytes() - bytes) / requests, us / requests);
}

} // namespace

int main()
{
    // The last row is one and a half times what the targets can run.
    constexpr std::array<row, 3> rows = {{{26, 8}, {100, 8}, {192, 8}}};
    for (auto const& r : rows)
    {
        measure(r, true);
        measure(r, false);
    }
}
