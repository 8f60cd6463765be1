#pragma once

#include "src/base/address.hpp"
#include "src/base/error.hpp"
#include "src/base/ids.hpp"
#include "src/base/units.hpp"

#include <string_view>

namespace tanagerlead::entry
{

/// Settings of the daemon for routed requests; docs/CONFIGURATION.md.
struct settings
{
    base::daemon_id daemon_;
    base::data_centre_id data_centre_;

    /// Where callers send requests.
    base::address callers_;
    /// Where the health check asks.
    base::address health_;
    /// Where callers ask which address to use.
    base::address directory_;
    /// Where other daemons fetch the configuration.
    base::address peers_;
    /// Port of the reports between daemons; the same on all hosts.
    std::uint16_t report_port_ = 0;
    std::uint16_t metrics_port_ = 0;
    std::vector<base::address> seeds_;
    base::address store_;

    std::size_t max_descriptors_ = 1024;
    /// Time from the signal of a planned stop to the end.
    base::duration grace_period_ = std::chrono::seconds{8};
    double retry_ratio_ = 0.2;
    double retry_slack_ = 50;
    base::duration retry_window_ = std::chrono::seconds{10};
    /// Units by which all daemons together may exceed a quota.
    double quota_slack_ = 0;
};

/// Errors name the field.
base::result<settings> read_settings(std::string_view text);

} // namespace tanagerlead::entry
