#pragma once

#include "src/entry/protocol.hpp"
#include "src/entry/rate_limited_log.hpp"
#include "src/entry/store_watcher.hpp"
#include "src/routing/target_directory.hpp"

namespace tanagerlead::entry
{

/// Updates the target directory from the registry and publishes the targets
/// when they change.
class registry_reader final : public store_observer
{
public:
    using publish_callback =
        std::function<void(std::vector<routing::target_info>)>;

    registry_reader(net::asio::io_context& loop, protocol const& wire,
                    publish_callback publish);

    /// `report` is called when the registry is lost, and with true when it has
    /// been read again.
    void set_state_callback(std::function<void(bool is_current)> report)
    {
        report_state_ = std::move(report);
    }

    /// `list` is called when a listing must show which targets have left.
    void set_listing_callback(std::function<void()> list)
    {
        list_ = std::move(list);
    }

    void on_items(std::vector<store_item> const& items) override;
    void on_changes(std::vector<store_item> const& items) override;
    void on_store_lost(base::error const& why) override;
    void on_store_recovered() override;
    /// The store was restored from an older copy and is read again.
    void on_new_era();

private:
    std::optional<routing::target_info> read(store_item const& item);
    /// How many items were written before the newest one that was read before.
    std::size_t
    count_written_before(std::vector<store_item> const& items) const;
    void publish();
    void set_current(bool is_current);

    protocol const& protocol_;
    publish_callback publish_;
    std::function<void()> list_ = [] {
    };
    std::function<void(bool)> report_state_ = [](bool) {
    };
    rate_limited_log log_{"registry"};
    routing::target_directory directory_;
    net::deadline_timer timer_;
    std::vector<routing::target_info> last_published_;
    /// Revision of the newest entry or removal that was read.
    store_revision newest_revision_{};
    /// The store is back, and the listing that shows what it kept is due.
    bool is_listing_after_gap_ = false;
    bool has_published_ = false;
    bool is_current_ = false;
};

} // namespace tanagerlead::entry
