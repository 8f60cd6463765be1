#include "src/request/answer_buffer.hpp"

#include <cassert>

namespace tanagerlead::request
{

namespace
{
// One write to a caller; a slow reader catches up in pieces of this size.
constexpr std::size_t most_slice_bytes = std::size_t{256} << 10U;
} // namespace

void answer_buffer::begin(answer_head head)
{
    std::lock_guard const lock{mutex_};
    assert(!head_);
    head_ = std::move(head);
    tell_all();
}

bool answer_buffer::append(std::string event)
{
    std::lock_guard const lock{mutex_};
    assert(!end_);
    if (bytes_ + event.size() > most_bytes_)
    {
        return false;
    }
    bytes_ += event.size();
    events_.push_back(std::move(event));
    tell_all();
    return true;
}

void answer_buffer::finish(answer_end end)
{
    std::lock_guard const lock{mutex_};
    if (!end_)
    {
        end_ = std::move(end);
        tell_all();
    }
}

void answer_buffer::tell_all()
{
    for (auto const& [subscription, changed] : listeners_)
    {
        changed();
    }
}

std::uint64_t answer_buffer::subscribe(listener changed)
{
    std::lock_guard const lock{mutex_};
    listeners_.emplace(next_subscription_, std::move(changed));
    return next_subscription_++;
}

void answer_buffer::unsubscribe(std::uint64_t subscription)
{
    std::lock_guard const lock{mutex_};
    listeners_.erase(subscription);
}

answer_buffer::slice answer_buffer::read_after(std::uint64_t after) const
{
    std::lock_guard const lock{mutex_};
    slice result;
    result.last_ = after;
    while (result.last_ < events_.size() &&
           result.bytes_.size() < most_slice_bytes)
    {
        result.bytes_ += events_[result.last_];
        ++result.last_;
    }
    if (result.last_ >= events_.size())
    {
        result.end_ = end_;
    }
    return result;
}

std::string answer_buffer::content() const
{
    std::lock_guard const lock{mutex_};
    std::string all;
    all.reserve(bytes_);
    for (auto const& event : events_)
    {
        all += event;
    }
    return all;
}

std::optional<answer_head> answer_buffer::head() const
{
    std::lock_guard const lock{mutex_};
    return head_;
}

std::optional<answer_end> answer_buffer::end() const
{
    std::lock_guard const lock{mutex_};
    return end_;
}

std::uint64_t answer_buffer::last_event() const
{
    std::lock_guard const lock{mutex_};
    return events_.size();
}

std::size_t answer_buffer::bytes() const
{
    std::lock_guard const lock{mutex_};
    return bytes_;
}

} // namespace tanagerlead::request
