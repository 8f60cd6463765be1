#pragma once

#include "src/entry/callback_guard.hpp"
#include "src/entry/metadata_store.hpp"
#include "src/entry/prefix_reader.hpp"
#include "src/entry/rate_limited_log.hpp"
#include "src/entry/store_era_tracker.hpp"
#include "src/net/event_loop.hpp"
#include "src/routing/stream_starts.hpp"

#include <optional>

namespace tanagerlead::entry
{

/// The starts of all daemons, as the store had them after a request for them.
struct kept_stream_starts
{
    base::time_point asked_;
    std::vector<routing::stream_start_list> lists_;
};

/// Keeps the starts of this daemon's streams in the store, and reads those of
/// all daemons. The item outlives the daemon for as long as its streams may be
/// taken up. It names an era of the store of which no start is missing, as far
/// as this daemon knows.
class stream_start_store
{
public:
    using kept_callback = std::function<void(routing::stream_starts::revision)>;
    using read_callback = std::function<void(kept_stream_starts)>;
    using unusable_callback = std::function<void(base::time_point asked)>;

    /// Receivers of what the store has answered.
    struct outputs
    {
        kept_callback kept_;
        read_callback found_;
        /// The reading that was sent at `asked` tells nothing.
        unusable_callback unusable_ = [](base::time_point) {
        };
    };

    /// `daemon` and `incarnation` name the item of this start of the daemon.
    /// `store` and `era` must outlive the object.
    stream_start_store(net::asio::io_context& loop, metadata_store& store,
                       store_era_tracker const& era, std::string const& daemon,
                       std::uint64_t incarnation, outputs out);

    /// Streams may begin soon. With a lease at hand their start takes one call.
    /// Until then an empty list is kept.
    void prepare();
    /// Replaces what is kept.
    void write(routing::stream_starts::update update);
    /// Reads all items; see `prefix_reader`. The result is unusable if the
    /// items are not complete, or some may be missing since the store was
    /// restored from an older copy.
    void read() { reader_.read(); }
    void on_new_era();

private:
    /// Pause after a failed call, which doubles with each one.
    static constexpr base::duration min_retry_pause =
        std::chrono::milliseconds{200};
    static constexpr base::duration max_retry_pause = std::chrono::seconds{2};

    void advance();
    void vouch();
    void grant();
    void renew();
    void put();
    void on_put(routing::stream_starts::revision written,
                base::result<void> const& result);
    void fail(base::error const& why);
    void on_listed(store_listing const& listing);

    metadata_store& store_;
    store_era_tracker const& era_;
    std::string key_;
    outputs out_;
    rate_limited_log log_{"starts"};
    std::optional<routing::stream_starts::update> update_;
    std::optional<store_lease> lease_;
    /// The era that the item names; unknown until the store's is known.
    store_era vouched_era_ = unknown_store_era;
    /// When the items that a restored copy lacks have no streams any more.
    std::optional<base::time_point> vouch_at_;
    bool is_written_ = false;
    /// When the latest list came.
    base::time_point updated_at_{};
    bool is_busy_ = false;
    base::time_point renew_at_ = base::time_point::max();
    base::duration retry_pause_ = min_retry_pause;
    prefix_reader reader_;
    net::deadline_timer timer_;
    callback_guard calls_;
};

} // namespace tanagerlead::entry
