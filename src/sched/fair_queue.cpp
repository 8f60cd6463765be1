#include "src/sched/fair_queue.hpp"

#include <algorithm>
#include <cassert>

namespace tanagerlead::sched
{

namespace
{

/// Weights outside these bounds would cause many turns in which no request is
/// served.
constexpr double min_weight = 1.0 / 64;
constexpr double max_weight = 64;
/// Weight of a new cost in the moving average that sets the quantum.
constexpr double quantum_gain = 1.0 / 64;

double normalized_backlog(flow const& f)
{
    return f.backlog_ / f.weight_;
}

} // namespace

void fair_tier::set_weights(workspace_weights const& weights)
{
    active_weight_ = 0;
    for (auto& [workspace, place] : flows_)
    {
        auto const found = weights.find(workspace);
        place->weight_ = found == weights.end() ? 1.0 : found->second;
        if (!place->requests_.empty())
        {
            active_weight_ += place->weight_;
        }
    }
}

// The quantum is a moving average of the request costs. Each turn adds a
// quantum and each served request uses its cost, so there are about as many
// turns as served requests, however much the costs differ.
void fair_tier::update_quantum(double cost)
{
    quantum_ =
        quantum_ == 0 ? cost : quantum_ + quantum_gain * (cost - quantum_);
}

fair_tier::flow_list::iterator
fair_tier::find_or_add_flow(base::workspace_id const& workspace, double weight)
{
    auto const found = flows_.find(workspace);
    if (found != flows_.end())
    {
        return found->second;
    }
    auto const added = new_flows_.insert(new_flows_.end(), flow{});
    added->workspace_ = workspace;
    added->weight_ = weight;
    added->deficit_ = quantum_ * weight;
    flows_.emplace(workspace, added);
    return added;
}

void fair_tier::push(waiting_request& request, double weight)
{
    update_quantum(request.cost_);
    auto const place = find_or_add_flow(request.item_.workspace_, weight);
    auto& requests = place->requests_;
    if (requests.empty())
    {
        active_weight_ += place->weight_;
    }
    // A request that returns after a failed connection attempt goes to the
    // front again.
    auto const older =
        !requests.empty() &&
        request.item_.received_ < requests.front()->item_.received_;
    request.flow_ = place;
    request.position_ =
        requests.insert(older ? requests.begin() : requests.end(), &request);
    place->backlog_ += request.cost_;
    backlog_ += request.cost_;
    ++size_;
}

void fair_tier::move_to_old_flows(flow_list::iterator turn)
{
    auto& from = turn->is_new_ ? new_flows_ : old_flows_;
    turn->is_new_ = false;
    old_flows_.splice(old_flows_.end(), from, turn);
}

void fair_tier::remove_flow(flow_list& from, flow_list::iterator idle)
{
    flows_.erase(idle->workspace_);
    from.erase(idle);
}

// A flow without requests stays in the list until its deficit is positive
// again, so a workspace gains no share by sending one request at a time.
waiting_request* fair_tier::front()
{
    while (size_ > 0)
    {
        auto& list = new_flows_.empty() ? old_flows_ : new_flows_;
        auto const turn = list.begin();
        if (turn->deficit_ <= 0)
        {
            turn->deficit_ += quantum_ * turn->weight_;
            move_to_old_flows(turn);
        }
        else if (turn->requests_.empty())
        {
            remove_flow(list, turn);
        }
        else
        {
            return turn->requests_.front();
        }
    }
    return nullptr;
}

void fair_tier::unlink(waiting_request& request)
{
    auto& owner = *request.flow_;
    owner.requests_.erase(request.position_);
    owner.backlog_ -= request.cost_;
    backlog_ -= request.cost_;
    --size_;
    if (owner.requests_.empty())
    {
        active_weight_ -= owner.weight_;
        owner.backlog_ = 0;
    }
}

void fair_tier::clear_flows()
{
    assert(size_ == 0);
    new_flows_.clear();
    old_flows_.clear();
    flows_.clear();
    backlog_ = 0;
    active_weight_ = 0;
}

void fair_tier::take(waiting_request& request)
{
    auto const owner = request.flow_;
    unlink(request);
    owner->deficit_ -= request.cost_;
    if (size_ == 0)
    {
        clear_flows();
    }
    else if (owner->requests_.empty())
    {
        // If the workspace sends another request before this flow's next turn,
        // the flow doesn't count as new.
        move_to_old_flows(owner);
    }
}

void fair_tier::erase(waiting_request& request)
{
    unlink(request);
    if (size_ == 0)
    {
        clear_flows();
    }
}

void fair_tier::charge(base::workspace_id const& workspace, double cost)
{
    auto const found = flows_.find(workspace);
    if (found != flows_.end())
    {
        // A refund can't raise the deficit above one turn's quantum.
        auto& f = *found->second;
        f.deficit_ = std::min(f.deficit_ - cost,
                              std::max(f.deficit_, quantum_ * f.weight_));
    }
}

double fair_tier::cost_ahead(base::workspace_id const& workspace,
                             double weight) const
{
    auto const found = flows_.find(workspace);
    auto const idle = found == flows_.end() || found->second->requests_.empty();
    auto const own = found == flows_.end() ? 0.0 : found->second->backlog_;
    auto const active = active_weight_ + (idle ? weight : 0.0);
    return std::min(backlog_, own * active / weight);
}

std::vector<waiting_request*> fair_tier::victims(double excess) const
{
    std::vector<flow const*> by_backlog;
    by_backlog.reserve(flows_.size());
    for (auto const& [workspace, place] : flows_)
    {
        if (!place->requests_.empty())
        {
            by_backlog.push_back(&*place);
        }
    }
    std::sort(by_backlog.begin(), by_backlog.end(),
              [](flow const* a, flow const* b)
              {
                  return normalized_backlog(*a) != normalized_backlog(*b)
                             ? normalized_backlog(*a) > normalized_backlog(*b)
                             : a->workspace_.str() < b->workspace_.str();
              });
    std::vector<waiting_request*> chosen;
    for (std::size_t i = 0; i < by_backlog.size() && excess > 0; ++i)
    {
        // Reduces this flow's backlog to the next flow's, in proportion to the
        // weights, before taking requests of the next flow.
        auto const next = i + 1 < by_backlog.size()
                              ? normalized_backlog(*by_backlog[i + 1])
                              : 0.0;
        auto left = by_backlog[i]->backlog_;
        auto const& requests = by_backlog[i]->requests_;
        for (auto r = requests.rbegin(); r != requests.rend() && excess > 0 &&
                                         left > next * by_backlog[i]->weight_;
             ++r)
        {
            chosen.push_back(*r);
            left -= (*r)->cost_;
            excess -= (*r)->cost_;
        }
    }
    return chosen;
}

void fair_queue::set_weights(workspace_weights weights)
{
    for (auto& [workspace, weight] : weights)
    {
        weight = std::clamp(weight, min_weight, max_weight);
    }
    weights_ = std::move(weights);
    for (auto& t : tiers_)
    {
        t.set_weights(weights_);
    }
}

double fair_queue::weight_of(base::workspace_id const& workspace) const
{
    auto const found = weights_.find(workspace);
    return found == weights_.end() ? 1.0 : found->second;
}

fair_tier& fair_queue::tier_of(waiting_request const& request)
{
    return tiers_.at(base::index(request.item_.tier_));
}

void fair_queue::push(waiting_request& request)
{
    tier_of(request).push(request, weight_of(request.item_.workspace_));
}

waiting_request* fair_queue::front(base::tier lowest)
{
    auto const end = std::min(base::index(lowest) + 1, tiers_.size());
    for (std::size_t t = 0; t < end; ++t)
    {
        if (auto* const request = tiers_[t].front())
        {
            return request;
        }
    }
    return nullptr;
}

void fair_queue::take(waiting_request& request)
{
    tier_of(request).take(request);
}

void fair_queue::erase(waiting_request& request)
{
    tier_of(request).erase(request);
}

void fair_queue::charge(base::workspace_id const& workspace, base::tier t,
                        double cost)
{
    tiers_.at(base::index(t)).charge(workspace, cost);
}

std::size_t fair_queue::size(base::tier t) const
{
    return tiers_.at(base::index(t)).size();
}

double fair_queue::backlog(base::tier t) const
{
    return tiers_.at(base::index(t)).backlog();
}

double fair_queue::cost_ahead(base::workspace_id const& workspace,
                              base::tier t) const
{
    double sum =
        tiers_.at(base::index(t)).cost_ahead(workspace, weight_of(workspace));
    for (std::size_t higher = 0; higher < base::index(t); ++higher)
    {
        sum += tiers_[higher].backlog();
    }
    return sum;
}

std::vector<waiting_request*> fair_queue::victims(base::tier t,
                                                  double excess) const
{
    return tiers_.at(base::index(t)).victims(excess);
}

} // namespace tanagerlead::sched
