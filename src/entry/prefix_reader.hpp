#pragma once

#include "src/entry/callback_guard.hpp"
#include "src/entry/metadata_store.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace tanagerlead::entry
{

/// The items of a prefix, as the store had them after a request for them.
struct store_listing
{
    base::time_point asked_;
    std::vector<store_item> items_;
    /// If set, the items after those listed could not be read.
    std::optional<base::error> failure_;
};

/// Reads all items under one prefix of the store, page by page. Questions that
/// come while a reading is under way share it, unless the store is slow to
/// answer it.
class prefix_reader
{
public:
    /// After this long without its end, a reading keeps no other one from being
    /// sent. Its answer may be lost, and it may have begun before the question.
    static constexpr base::duration share_time = std::chrono::milliseconds{240};

    using listing_callback = std::function<void(store_listing)>;

    /// `store` must outlive the object. `done` gets the result of each reading.
    prefix_reader(metadata_store& store, std::string prefix,
                  listing_callback done);

    void read();
    /// Drops the readings that are under way.
    void on_new_era();

private:
    void read_page(std::shared_ptr<store_listing> const& listing);
    void on_page(std::shared_ptr<store_listing> const& listing,
                 base::result<store_page> const& page);
    void finish(store_listing const& listing);

    metadata_store& store_;
    std::string prefix_;
    listing_callback done_;
    /// When the latest reading that is under way was sent.
    std::optional<base::time_point> latest_;
    callback_guard calls_;
};

} // namespace tanagerlead::entry
