#pragma once

#include "src/entry/event_log.hpp"
#include "src/entry/protocol.hpp"
#include "src/entry/store_follower.hpp"
#include "src/routing/target_directory.hpp"

namespace tanagerlead::entry
{

/// Feeds the target directory from the registry and publishes what changes.
class registry_reader final : public store_reader
{
public:
    using published = std::function<void(std::vector<routing::target_info>)>;

    registry_reader(net::asio::io_context& loop, protocol const& speech,
                    published publish);

    void on_items(std::vector<store_item> const& items) override;
    void on_changes(std::vector<store_item> const& items) override;
    void on_store_lost(base::error const& why) override;
    void on_store_back() override;

private:
    std::optional<routing::target_info> read(store_item const& item);
    void publish();

    protocol const& protocol_;
    published publish_;
    event_log log_{"registry"};
    routing::target_directory directory_;
    net::alarm alarm_;
    std::vector<routing::target_info> last_;
    bool published_ = false;
};

} // namespace tanagerlead::entry
