#pragma once

#include "src/entry/callback_guard.hpp"
#include "src/entry/metadata_store.hpp"
#include "src/net/event_loop.hpp"
#include "src/routing/store_follower.hpp"

#include <functional>

namespace tanagerlead::entry
{

/// Receives the items under one prefix and the changes to them.
class store_observer
{
public:
    virtual ~store_observer() = default;

    /// Receives a complete listing of the items.
    virtual void on_items(std::vector<store_item> const& items) = 0;
    virtual void on_changes(std::vector<store_item> const& items) = 0;
    /// Changes may be missed until the next listing. Called once for each such
    /// gap.
    virtual void on_store_lost(base::error const& why) = 0;
    virtual void on_store_recovered() = 0;
};

/// Follows one prefix of the store: makes the calls that a store_follower
/// decides on, and passes items and changes to an observer.
class store_watcher
{
public:
    struct settings
    {
        std::string prefix_;
        /// Minimum time from a watch that returned changes to the next watch,
        /// which batches further changes.
        base::duration min_interval_{};
        /// Called after an outage, before the items are passed on.
        std::function<void()> on_recovered_ = [] {
        };
        /// Called with the revision of the newest change when it rises.
        std::function<void(store_revision)> on_newest_change_ =
            [](store_revision) {
            };
        /// Called with a time until which all changes have been passed on.
        std::function<void(base::time_point)> on_confirmed_ =
            [](base::time_point) {
            };
    };

    /// `store` and `observer` must outlive the watcher.
    store_watcher(net::asio::io_context& loop, metadata_store& store,
                  store_observer& observer, settings s, std::uint64_t seed);

    void start();
    /// Lists the items again and starts a new watch. Answers to earlier calls
    /// are ignored, since their revisions belong to an earlier era of the
    /// store.
    void restart();
    void stop();
    /// Retries immediately if a retry is scheduled.
    void retry_now();
    /// Lists the items at once if the store was lost, since another user of the
    /// store has reached it.
    void on_store_reached();
    /// Lists the items at once.
    void list_now();
    /// Place of this daemon among those that hear each other.
    void set_position(routing::follower_position position);
    /// Another daemon has a change of this revision.
    void on_peer_revision(store_revision revision);

private:
    /// The pages of one listing.
    struct listing
    {
        routing::store_call_id call_{};
        std::vector<store_item> items_;
        /// Changes between two pages are returned by the first watch.
        std::optional<store_revision> first_page_revision_;
        base::time_point asked_;
    };

    void advance();
    void read_page(std::shared_ptr<listing> const& pages);
    std::function<void()> progress_of(routing::store_call_id call);
    void on_page(std::shared_ptr<listing> const& pages,
                 base::result<store_page> page);
    void watch(routing::store_call const& call);
    void on_changes(routing::store_call const& call, base::time_point asked,
                    base::result<store_changes> changes);
    void on_failure(routing::store_call_id call, base::error const& why);
    void report_gap(base::error const& why);
    void report_newest_change();

    metadata_store& store_;
    store_observer& observer_;
    settings settings_;
    routing::store_follower follower_;
    net::deadline_timer timer_;
    /// The observer knows that the store was lost.
    bool is_gap_reported_ = false;
    store_revision reported_change_{};
    bool is_stopped_ = false;
    callback_guard calls_;
};

} // namespace tanagerlead::entry
