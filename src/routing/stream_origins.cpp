#include "src/routing/stream_origins.hpp"

#include <algorithm>

namespace tanagerlead::routing
{

namespace
{

/// Appends to the last message, or to a new one if that is full.
template <class Item>
void append(std::vector<stream_message>& out,
            std::vector<Item> stream_message::*list, Item item)
{
    if (out.empty() || (out.back().*list).size() == stream_message::max_items)
    {
        out.emplace_back();
    }
    (out.back().*list).push_back(item);
}

} // namespace

// Two origins of one attempt contradict each other only if something is wrong
// with one of them, so neither is used.
void stream_origins::insert(stream_origin origin, base::time_point now)
{
    auto const [known, is_new] =
        origins_.try_emplace(origin.attempt_, origin.version_);
    if (!is_new)
    {
        if (known->second != origin.version_)
        {
            known->second = unknown_version;
        }
        return;
    }
    by_age_.emplace_back(now, origin.attempt_);
    expire(now);
}

void stream_origins::expire(base::time_point now)
{
    while (!by_age_.empty() && (now - by_age_.front().first > retention ||
                                by_age_.size() > max_origins))
    {
        complete_since_ = by_age_.front().first;
        origins_.erase(by_age_.front().second);
        by_age_.pop_front();
    }
}

void stream_origins::on_begun(stream_origin origin, base::time_point now)
{
    insert(origin, now);
    if (uncopied_.empty())
    {
        copy_at_ = now + copy_interval;
    }
    uncopied_.push_back(origin);
}

std::optional<version_digest> stream_origins::find(attempt_digest attempt) const
{
    auto const known = origins_.find(attempt);
    return known == origins_.end() ? std::nullopt
                                   : std::optional{known->second};
}

void stream_origins::ask(attempt_digest attempt, base::time_point now)
{
    questions_.try_emplace(
        attempt, question{now, question_interval, now + answer_timeout});
}

stream_message stream_origins::on_message(stream_message const& message,
                                          base::time_point now)
{
    for (auto const& origin : message.origins_)
    {
        insert(origin, now);
        questions_.erase(origin.attempt_);
    }
    stream_message answer;
    for (auto const attempt : message.questions_)
    {
        if (auto const version = find(attempt))
        {
            answer.origins_.push_back({attempt, *version});
        }
    }
    return answer;
}

stream_origins::outbox stream_origins::take_due(base::time_point now)
{
    expire(now);
    outbox out;
    if (copy_at_ <= now)
    {
        for (auto const& origin : uncopied_)
        {
            append(out.copies_, &stream_message::origins_, origin);
        }
        uncopied_.clear();
        copy_at_ = base::time_point::max();
    }
    for (auto it = questions_.begin(); it != questions_.end();)
    {
        auto& [attempt, asked] = *it;
        if (asked.give_up_at_ <= now)
        {
            out.given_up_.push_back(attempt);
            it = questions_.erase(it);
            continue;
        }
        if (asked.ask_at_ <= now)
        {
            append(out.questions_, &stream_message::questions_, attempt);
            asked.ask_at_ = now + asked.pause_;
            asked.pause_ *= 2;
        }
        ++it;
    }
    return out;
}

base::time_point stream_origins::next_wakeup() const
{
    auto next = copy_at_;
    for (auto const& [attempt, asked] : questions_)
    {
        next = std::min({next, asked.ask_at_, asked.give_up_at_});
    }
    return next;
}

// Rendezvous hashing, so that a daemon that comes or leaves moves few holders.
std::vector<peer_ip> stream_origins::holders_of(peer_ip self,
                                                std::vector<peer_ip> others)
{
    auto const rank = [self](peer_ip daemon)
    {
        return rendezvous_rank(daemon, static_cast<std::uint64_t>(self));
    };
    auto const count = std::min(others.size(), holder_count);
    std::partial_sort(
        others.begin(), others.begin() + static_cast<std::ptrdiff_t>(count),
        others.end(), [&](peer_ip a, peer_ip b) { return rank(a) < rank(b); });
    others.resize(count);
    return others;
}

} // namespace tanagerlead::routing
