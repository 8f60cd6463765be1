#pragma once

#include "src/entry/protocol.hpp"
#include "src/entry/rate_limited_log.hpp"
#include "src/entry/store_watcher.hpp"

namespace tanagerlead::entry
{

/// Holds the newest valid configuration read from the store or another daemon.
/// Documents with the same or a lower version are ignored.
class configuration_reader final : public store_observer
{
public:
    using publish_callback = std::function<void(routing::configuration_ptr)>;

    configuration_reader(protocol const& wire, publish_callback publish)
        : protocol_{wire}, publish_{std::move(publish)}
    {
    }

    void on_items(std::vector<store_item> const& items) override;
    void on_changes(std::vector<store_item> const& items) override;
    void on_store_lost(base::error const& why) override;
    void on_store_recovered() override;

    void on_document(std::string const& document, std::string const& source);
    std::string const& document() const { return document_; }
    base::config_version version() const { return version_; }

private:
    protocol const& protocol_;
    publish_callback publish_;
    rate_limited_log log_{"config"};
    std::string document_;
    base::config_version version_{};
};

} // namespace tanagerlead::entry
