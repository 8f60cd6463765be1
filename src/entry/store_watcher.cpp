#include "src/entry/store_watcher.hpp"

#include <algorithm>

namespace tanagerlead::entry
{

using routing::store_call;
using routing::store_call_id;

namespace
{

store_revision newest_of(std::vector<store_item> const& items)
{
    store_revision newest{};
    for (auto const& item : items)
    {
        newest = std::max(newest, item.revision_);
    }
    return newest;
}

} // namespace

store_watcher::store_watcher(net::asio::io_context& loop, metadata_store& store,
                             store_observer& observer, settings s,
                             std::uint64_t seed)
    : store_{store}, observer_{observer}, settings_{std::move(s)},
      follower_{settings_.min_interval_, seed}, timer_{loop, [this]
                                                       {
                                                           advance();
                                                       }}
{
}

void store_watcher::start()
{
    follower_.start(net::now());
    advance();
}

void store_watcher::stop()
{
    is_stopped_ = true;
    calls_.close();
    timer_.clear();
}

void store_watcher::restart()
{
    calls_.give_up_calls();
    reported_change_ = {};
    follower_.restart(net::now());
    advance();
}

void store_watcher::retry_now()
{
    follower_.retry_now(net::now());
    advance();
}

void store_watcher::on_store_reached()
{
    follower_.on_store_reached(net::now());
    advance();
}

void store_watcher::list_now()
{
    follower_.list_now(net::now());
    advance();
}

void store_watcher::set_position(routing::follower_position position)
{
    follower_.set_position(position);
    advance();
}

void store_watcher::on_peer_revision(store_revision revision)
{
    follower_.on_peer_revision(revision, net::now());
    advance();
}

void store_watcher::advance()
{
    if (is_stopped_)
    {
        return;
    }
    auto const calls = follower_.advance(net::now());
    if (follower_.is_lost())
    {
        report_gap({base::error_code::unavailable, "watch keys", "store",
                    routing::name_of(follower_.current_gap())});
    }
    for (auto const& call : calls)
    {
        if (call.kind_ == store_call::kind::watch)
        {
            watch(call);
        }
        else
        {
            read_page(std::make_shared<listing>(
                listing{call.id_, {}, {}, net::now()}));
        }
    }
    timer_.set(follower_.next_wakeup());
}

void store_watcher::read_page(std::shared_ptr<listing> const& pages)
{
    store_.list(settings_.prefix_,
                pages->items_.empty() ? std::string{}
                                      : pages->items_.back().key_,
                false,
                calls_.wrap([this, pages](base::result<store_page> page)
                            { on_page(pages, std::move(page)); }),
                progress_of(pages->call_));
}

std::function<void()> store_watcher::progress_of(store_call_id call)
{
    return [on_progress = calls_.wrap(
                [this](store_call_id id)
                {
                    follower_.on_progress(id, net::now());
                    timer_.set(follower_.next_wakeup());
                }),
            call]
    {
        on_progress(call);
    };
}

void store_watcher::on_page(std::shared_ptr<listing> const& pages,
                            base::result<store_page> page)
{
    if (!follower_.is_wanted(pages->call_))
    {
        return;
    }
    if (!page)
    {
        on_failure(pages->call_, page.error());
        return;
    }
    auto& result = page.value();
    pages->first_page_revision_ =
        pages->first_page_revision_.value_or(result.revision_);
    for (auto& item : result.items_)
    {
        pages->items_.push_back(std::move(item));
    }
    if (result.has_more_ && !pages->items_.empty())
    {
        read_page(pages);
        return;
    }
    follower_.on_listed(pages->call_, *pages->first_page_revision_,
                        newest_of(pages->items_), net::now());
    if (std::exchange(is_gap_reported_, false))
    {
        observer_.on_store_recovered();
        settings_.on_recovered_();
    }
    observer_.on_items(pages->items_);
    settings_.on_confirmed_(pages->asked_);
    report_newest_change();
    advance();
}

void store_watcher::watch(store_call const& call)
{
    store_.watch(settings_.prefix_, call.after_, call.wait_,
                 calls_.wrap([this, call, asked = net::now()](
                                 base::result<store_changes> changes)
                             { on_changes(call, asked, std::move(changes)); }),
                 progress_of(call.id_));
}

void store_watcher::on_changes(store_call const& call, base::time_point asked,
                               base::result<store_changes> changes)
{
    if (!follower_.is_wanted(call.id_))
    {
        return;
    }
    if (!changes)
    {
        if (changes.error().code_ == base::error_code::not_found)
        {
            // The history was compacted; this is not an outage.
            follower_.on_history_lost(call.id_, net::now());
            advance();
            return;
        }
        on_failure(call.id_, changes.error());
        return;
    }
    auto const& result = changes.value();
    std::optional<store_revision> newest;
    if (!result.items_.empty())
    {
        newest = newest_of(result.items_);
    }
    auto const now = net::now();
    follower_.on_changes(call.id_, result.revision_, newest, now);
    if (newest)
    {
        observer_.on_changes(result.items_);
        report_newest_change();
    }
    // A watch that ends without changes has waited for all of its time, however
    // late its answer is.
    auto const has_waited = !newest && now - asked >= call.wait_;
    settings_.on_confirmed_(has_waited ? asked + call.wait_ : asked);
    advance();
}

void store_watcher::on_failure(store_call_id call, base::error const& why)
{
    follower_.on_failure(call, net::now());
    report_gap(why);
    advance();
}

void store_watcher::report_newest_change()
{
    auto const newest = follower_.newest_change();
    if (newest > reported_change_)
    {
        reported_change_ = newest;
        settings_.on_newest_change_(newest);
    }
}

void store_watcher::report_gap(base::error const& why)
{
    if (!std::exchange(is_gap_reported_, true))
    {
        observer_.on_store_lost(why);
    }
}

} // namespace tanagerlead::entry
