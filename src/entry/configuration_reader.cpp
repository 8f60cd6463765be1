#include "src/entry/configuration_reader.hpp"

namespace tanagerlead::entry
{

void configuration_reader::on_items(std::vector<store_item> const& items)
{
    on_changes(items);
}

void configuration_reader::on_changes(std::vector<store_item> const& items)
{
    for (auto const& item : items)
    {
        if (!item.removed_ && item.key_ == protocol_.configuration_key())
        {
            on_document(item.value_, "store");
        }
    }
}

void configuration_reader::on_store_lost(base::error const& why)
{
    log_.write(log_category::control_plane,
               log_line{"Store unavailable."}.with("reason", why.str()),
               net::now());
}

void configuration_reader::on_store_recovered()
{
    log_.write(log_category::control_plane, log_line{"Store available again."},
               net::now());
}

void configuration_reader::on_document(std::string const& document,
                                       std::string const& source)
{
    auto const read = protocol_.read_configuration(document);
    if (!read)
    {
        log_.write(log_category::control_plane,
                   log_line{"Malformed configuration ignored."}
                       .with("source", source)
                       .with("reason", read.error().str()),
                   net::now());
        return;
    }
    auto const& fresh = read.value();
    if (!document_.empty() && fresh->version() <= version_)
    {
        if (fresh->version() < version_)
        {
            log_.write(
                log_category::control_plane,
                log_line{"Older configuration ignored."}
                    .with("version",
                          static_cast<std::int64_t>(fresh->version()))
                    .with("in_force", static_cast<std::int64_t>(version_))
                    .with("source", source),
                net::now());
        }
        return;
    }
    version_ = fresh->version();
    document_ = document;
    log_.write(
        log_category::control_plane,
        log_line{"Configuration in force."}
            .with("version", static_cast<std::int64_t>(version_))
            .with("source", source)
            .with("routes", static_cast<std::int64_t>(fresh->routes().size())),
        net::now());
    publish_(fresh);
}

} // namespace tanagerlead::entry
