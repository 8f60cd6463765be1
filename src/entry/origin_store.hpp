#pragma once

#include "src/entry/callback_guard.hpp"
#include "src/entry/metadata_store.hpp"
#include "src/entry/prefix_reader.hpp"
#include "src/entry/rate_limited_log.hpp"
#include "src/routing/stream_origin.hpp"

#include <optional>

namespace tanagerlead::entry
{

/// Writes origins of streams to the store and reads those of all daemons.
/// Items are never changed and vanish with their lease, so an item that a
/// restored copy of the store brings back is still true.
class origin_store
{
public:
    using read_callback = std::function<void(routing::stream_message)>;

    /// `daemon` and `incarnation` name the items of this start of the daemon.
    /// `found` gets the origins of each item that is read. `store` must outlive
    /// the object.
    origin_store(metadata_store& store, std::string const& daemon,
                 std::uint64_t incarnation, read_callback found);

    void write(routing::stream_message message);
    /// Reads all items; see `prefix_reader`.
    void read() { reader_.read(); }
    void on_new_era();
    std::uint64_t writes() const { return writes_; }

private:
    void put(routing::stream_message message, store_lease lease);
    void on_listed(store_listing const& listing);
    void log_failure(char const* message, base::error const& why);

    metadata_store& store_;
    std::string prefix_;
    read_callback found_;
    rate_limited_log log_{"origins"};
    std::optional<store_lease> lease_;
    base::time_point lease_from_{};
    bool is_leasing_ = false;
    std::vector<routing::stream_message> waiting_;
    std::uint64_t writes_ = 0;
    prefix_reader reader_;
    callback_guard calls_;
};

} // namespace tanagerlead::entry
