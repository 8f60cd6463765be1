#include "src/entry/registry_reader.hpp"

#include <algorithm>

namespace tanagerlead::entry
{

registry_reader::registry_reader(net::asio::io_context& loop,
                                 protocol const& wire, publish_callback publish)
    : protocol_{wire}, publish_{std::move(publish)}, timer_{loop, [this]
                                                            {
                                                                list_();
                                                            }}
{
}

std::optional<routing::target_info>
registry_reader::read(store_item const& item)
{
    auto entry = protocol_.read_target(item.key_, item.value_);
    if (!entry)
    {
        log_.write(log_category::bad_input,
                   log_line{"Malformed registry entry ignored."}
                       .with("key", item.key_)
                       .with("reason", entry.error().str()),
                   net::now());
        return std::nullopt;
    }
    return std::move(entry).value();
}

std::size_t registry_reader::count_written_before(
    std::vector<store_item> const& items) const
{
    return static_cast<std::size_t>(
        std::count_if(items.begin(), items.end(),
                      [this](store_item const& item)
                      { return item.revision_ <= newest_revision_; }));
}

void registry_reader::on_items(std::vector<store_item> const& items)
{
    auto const now = net::now();
    if (std::exchange(is_listing_after_gap_, false))
    {
        directory_.on_registry_back(count_written_before(items), now);
    }
    newest_revision_ = {};
    std::vector<routing::target_info> entries;
    for (auto const& item : items)
    {
        newest_revision_ = std::max(newest_revision_, item.revision_);
        if (auto entry = read(item))
        {
            entries.push_back(std::move(*entry));
        }
    }
    directory_.on_list(std::move(entries), now);
    publish();
    set_current(true);
}

void registry_reader::set_current(bool is_current)
{
    if (std::exchange(is_current_, is_current) != is_current)
    {
        report_state_(is_current);
    }
}

void registry_reader::on_changes(std::vector<store_item> const& items)
{
    std::vector<routing::target_change> changes;
    for (auto const& item : items)
    {
        newest_revision_ = std::max(newest_revision_, item.revision_);
        changes.push_back({protocol_.target_id_of(item.key_),
                           item.removed_ ? std::nullopt : read(item)});
    }
    directory_.on_changes(changes, net::now());
    publish();
}

void registry_reader::on_store_lost(base::error const& why)
{
    directory_.on_registry_lost();
    set_current(false);
    log_.write(log_category::control_plane,
               log_line{"Registry unavailable."}.with("reason", why.str()),
               net::now());
}

void registry_reader::on_store_recovered()
{
    is_listing_after_gap_ = true;
    log_.write(log_category::control_plane,
               log_line{"Registry available again."}, net::now());
}

void registry_reader::on_new_era()
{
    newest_revision_ = {};
    directory_.on_registry_restored(net::now());
    set_current(false);
}

void registry_reader::publish()
{
    auto const now = net::now();
    directory_.expire(now);
    auto targets = directory_.targets();
    auto const wakeup = directory_.next_wakeup();
    if (wakeup != base::time_point::max())
    {
        timer_.set(wakeup);
    }
    if (has_published_ && targets == last_published_)
    {
        return;
    }
    has_published_ = true;
    int draining_count = 0;
    for (auto const& target : targets)
    {
        draining_count += target.draining_ ? 1 : 0;
    }
    log_.write(log_category::control_plane,
               log_line{"Targets changed."}
                   .with("targets", static_cast<std::int64_t>(targets.size()))
                   .with("leaving", draining_count),
               now);
    last_published_ = targets;
    publish_(std::move(targets));
}

} // namespace tanagerlead::entry
