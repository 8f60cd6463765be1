#include "src/sched/aside_list.hpp"

#include <algorithm>

namespace tanagerlead::sched
{

void aside_list::add(aside_entry entry)
{
    if (entry.wanted_ != nullptr)
    {
        ++entry.wanted_->waiting_for_;
    }
    entries_.push_back(entry);
}

void aside_list::let_go(aside_entry& entry)
{
    if (entry.wanted_ != nullptr)
    {
        --entry.wanted_->waiting_for_;
        entry.wanted_ = nullptr;
    }
}

bool aside_list::contains(waiting_request const& request) const
{
    return std::any_of(entries_.begin(), entries_.end(),
                       [&](auto const& entry)
                       { return entry.request_ == &request; });
}

void aside_list::remove(waiting_request const& request)
{
    auto const found = std::find_if(entries_.begin(), entries_.end(),
                                    [&](auto const& entry)
                                    { return entry.request_ == &request; });
    if (found != entries_.end())
    {
        let_go(*found);
        entries_.erase(found);
    }
}

void aside_list::release(base::time_point now)
{
    for (auto& entry : entries_)
    {
        auto const* const wanted = entry.wanted_;
        if (wanted != nullptr && (entry.until_ <= now || !wanted->dependable()))
        {
            let_go(entry);
        }
    }
}

void aside_list::release_all()
{
    std::for_each(entries_.begin(), entries_.end(), let_go);
}

base::time_point aside_list::next_change() const
{
    auto next = base::time_point::max();
    for (auto const& entry : entries_)
    {
        if (entry.wanted_ != nullptr)
        {
            next = std::min(next, entry.until_);
        }
    }
    return next;
}

aside_entry const*
aside_list::pick(base::tier lowest,
                 std::function<bool(aside_entry const&)> const& runs) const
{
    aside_entry const* best = nullptr;
    for (auto const& entry : entries_)
    {
        auto const tier = entry.request_->item_.tier_;
        auto const better =
            best == nullptr || tier < best->request_->item_.tier_;
        if (tier <= lowest && better && runs(entry))
        {
            best = &entry;
        }
    }
    return best;
}

} // namespace tanagerlead::sched
