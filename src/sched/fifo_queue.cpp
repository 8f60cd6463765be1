#include "src/sched/fifo_queue.hpp"

namespace tanagerlead::sched
{

void fifo_queue::push(waiting_request& request)
{
    request.position_ = requests_.insert(requests_.end(), &request);
    auto& sum = totals_.at(base::index(request.item_.tier_));
    ++sum.size_;
    sum.backlog_ += request.cost_;
}

// This queue models a plain proxy, which has no tiers, so it ignores the lowest
// permitted tier.
waiting_request* fifo_queue::front(base::tier)
{
    return requests_.empty() ? nullptr : requests_.front();
}

void fifo_queue::take(waiting_request& request)
{
    erase(request);
}

void fifo_queue::erase(waiting_request& request)
{
    requests_.erase(request.position_);
    auto& sum = totals_.at(base::index(request.item_.tier_));
    --sum.size_;
    sum.backlog_ -= request.cost_;
}

std::size_t fifo_queue::size(base::tier t) const
{
    return totals_.at(base::index(t)).size_;
}

double fifo_queue::backlog(base::tier t) const
{
    return totals_.at(base::index(t)).backlog_;
}

double fifo_queue::cost_ahead(base::workspace_id const&, base::tier) const
{
    double sum = 0;
    for (auto const& t : totals_)
    {
        sum += t.backlog_;
    }
    return sum;
}

std::vector<waiting_request*> fifo_queue::victims(base::tier, double) const
{
    return {};
}

} // namespace tanagerlead::sched
