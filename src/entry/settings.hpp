#pragma once

#include "src/base/address.hpp"
#include "src/base/error.hpp"
#include "src/base/ids.hpp"
#include "src/base/units.hpp"

#include <string_view>

namespace tanagerlead::entry
{

/// Settings of the entry daemon; see docs/CONFIGURATION.md.
struct settings
{
    base::daemon_id daemon_;
    base::data_centre_id data_centre_;

    /// Listening address for requests of callers.
    base::address callers_;
    /// Listening address for health checks.
    base::address health_;
    /// Listening address for directory queries of callers.
    base::address directory_;
    /// Listening address from which other daemons fetch the configuration.
    base::address peers_;
    /// UDP port of the reports between daemons; the same on all hosts.
    std::uint16_t report_port_ = 0;
    std::uint16_t metrics_port_ = 0;
    std::vector<base::address> seeds_;
    base::address store_;

    std::size_t max_descriptors_ = 1024;
    /// Maximum time from the shutdown signal to the end of the process.
    base::duration grace_period_ = std::chrono::seconds{8};
    double retry_ratio_ = 0.2;
    double retry_slack_ = 50;
    base::duration retry_window_ = std::chrono::seconds{10};
    /// Units by which all daemons together may exceed a quota.
    double quota_slack_ = 0;
    /// Targets that still keep the beginning of a prompt are preferred.
    bool weighs_kept_prompts_ = false;
    /// Daemons tell each other which targets they cannot connect to.
    bool shares_target_outages_ = false;
};

/// Errors name the field.
base::result<settings> read_settings(std::string_view text);

} // namespace tanagerlead::entry
