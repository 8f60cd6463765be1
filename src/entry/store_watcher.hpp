#pragma once

#include "src/base/random.hpp"
#include "src/entry/metadata_store.hpp"
#include "src/net/event_loop.hpp"

namespace tanagerlead::entry
{

/// Receives the keys of one prefix.
class store_observer
{
public:
    virtual ~store_observer() = default;

    /// All items, just read.
    virtual void on_items(std::vector<store_item> const& items) = 0;
    virtual void on_changes(std::vector<store_item> const& items) = 0;
    /// The store does not answer; once for each outage.
    virtual void on_store_lost(base::error const& why) = 0;
    virtual void on_store_recovered() = 0;
};

/// Keeps up with one prefix of the store: reads it whole, then watches it, and
/// reads it again when the history does not reach back far enough.
class store_watcher
{
public:
    struct settings
    {
        std::string prefix_;
        /// Least time between the end of a watch that brought changes and the
        /// next one, which then brings many at once.
        base::duration min_interval_{};
    };

    /// `store` and `reader` outlive it.
    store_watcher(net::asio::io_context& loop, metadata_store& store,
                  store_observer& observer, settings s, std::uint64_t seed);

    void start() { read_page(""); }
    void stop();
    /// Reads now if it waits to try again.
    void retry_now();

private:
    void read_page(std::string const& after);
    void on_page(base::result<store_page> page);
    void watch();
    void on_changes(base::result<store_changes> changes);
    void on_failure(base::error const& why);
    void on_success();

    metadata_store& store_;
    store_observer& observer_;
    settings settings_;
    base::random_source random_;
    base::duration backoff_;
    net::deadline_timer timer_;
    std::vector<store_item> items_;
    store_revision first_page_revision_{};
    store_revision revision_{};
    bool is_first_page_ = true;
    bool is_synced_ = false;
    bool is_lost_ = false;
    bool is_retry_scheduled_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace tanagerlead::entry
