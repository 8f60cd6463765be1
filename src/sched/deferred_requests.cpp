#include "src/sched/deferred_requests.hpp"

#include <algorithm>

namespace tanagerlead::sched
{

void deferred_requests::add(deferred_request entry)
{
    if (entry.preferred_target_ != nullptr)
    {
        ++entry.preferred_target_->waiting_count_;
    }
    entries_.push_back(entry);
}

void deferred_requests::clear_preference(deferred_request& entry)
{
    if (entry.preferred_target_ != nullptr)
    {
        --entry.preferred_target_->waiting_count_;
        entry.preferred_target_ = nullptr;
    }
}

bool deferred_requests::contains(waiting_request const& request) const
{
    return std::any_of(entries_.begin(), entries_.end(),
                       [&](auto const& entry)
                       { return entry.request_ == &request; });
}

void deferred_requests::remove(waiting_request const& request)
{
    auto const found = std::find_if(entries_.begin(), entries_.end(),
                                    [&](auto const& entry)
                                    { return entry.request_ == &request; });
    if (found != entries_.end())
    {
        clear_preference(*found);
        entries_.erase(found);
    }
}

void deferred_requests::release_due(base::time_point now)
{
    for (auto& entry : entries_)
    {
        auto const* const target = entry.preferred_target_;
        if (target != nullptr && (entry.until_ <= now || !target->dependable()))
        {
            clear_preference(entry);
        }
    }
}

void deferred_requests::release_all()
{
    std::for_each(entries_.begin(), entries_.end(), clear_preference);
}

base::time_point deferred_requests::next_change() const
{
    auto next = base::time_point::max();
    for (auto const& entry : entries_)
    {
        if (entry.preferred_target_ != nullptr)
        {
            next = std::min(next, entry.until_);
        }
    }
    return next;
}

deferred_request const* deferred_requests::pick(
    base::tier lowest,
    std::function<bool(deferred_request const&)> const& can_run) const
{
    deferred_request const* best = nullptr;
    for (auto const& entry : entries_)
    {
        auto const tier = entry.request_->item_.tier_;
        auto const better =
            best == nullptr || tier < best->request_->item_.tier_;
        if (tier <= lowest && better && can_run(entry))
        {
            best = &entry;
        }
    }
    return best;
}

} // namespace tanagerlead::sched
