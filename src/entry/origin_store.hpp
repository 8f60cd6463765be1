#pragma once

#include "src/entry/callback_guard.hpp"
#include "src/entry/metadata_store.hpp"
#include "src/entry/prefix_reader.hpp"
#include "src/entry/rate_limited_log.hpp"
#include "src/routing/stream_origin.hpp"

#include <functional>
#include <map>
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
    using written_callback = std::function<void(base::result<void> const&)>;

    /// `daemon` and `incarnation` name the items of this start of the daemon.
    /// `found` gets the origins of each item that is read. `store` must outlive
    /// the object.
    origin_store(metadata_store& store, std::string const& daemon,
                 std::uint64_t incarnation, read_callback found);

    /// `done` is called once, with an error if the message is not written or
    /// may not be.
    void write(routing::stream_message message, written_callback done = {});
    /// Reads all items; see `prefix_reader`.
    void read() { reader_.read(); }
    void on_new_era();
    std::uint64_t writes() const { return writes_; }

private:
    struct write_call
    {
        routing::stream_message message_;
        written_callback done_;
    };

    void put(write_call call, store_lease lease);
    void finish(std::uint64_t number, base::result<void> const& written);
    void on_listed(store_listing const& listing);
    void log_failure(char const* message, base::error const& why);

    metadata_store& store_;
    std::string prefix_;
    read_callback found_;
    rate_limited_log log_{"origins"};
    std::optional<store_lease> lease_;
    base::time_point lease_from_{};
    bool is_leasing_ = false;
    std::vector<write_call> waiting_;
    /// Calls for whose answer the store is awaited, by number.
    std::map<std::uint64_t, written_callback> in_flight_;
    std::uint64_t writes_ = 0;
    prefix_reader reader_;
    callback_guard calls_;
};

} // namespace tanagerlead::entry
