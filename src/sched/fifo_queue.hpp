#pragma once

#include "src/sched/waiting_queue.hpp"

#include <array>

namespace tanagerlead::sched
{

/// A single first-in, first-out queue for all tiers and workspaces.
class fifo_queue final : public waiting_queue
{
public:
    void set_weights(workspace_weights) override {}
    void push(waiting_request& request) override;
    waiting_request* front(base::tier lowest) override;
    void take(waiting_request& request) override;
    void erase(waiting_request& request) override;
    void charge(base::workspace_id const&, base::tier, double) override {}
    std::size_t size(base::tier t) const override;
    double backlog(base::tier t) const override;
    double cost_ahead(base::workspace_id const&, base::tier) const override;
    std::vector<waiting_request*> victims(base::tier, double) const override;

private:
    struct tier_totals
    {
        std::size_t size_ = 0;
        double backlog_ = 0;
    };

    std::list<waiting_request*> requests_;
    std::array<tier_totals, base::max_tiers> totals_{};
};

} // namespace tanagerlead::sched
