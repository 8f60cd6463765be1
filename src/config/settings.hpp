#pragma once

#include "src/base/address.hpp"
#include "src/base/ids.hpp"
#include "src/base/log.hpp"

#include <string>
#include <vector>

namespace tanagerlead::config
{

/// What one daemon learns from its JSON file and flags at its start.
struct settings
{
    base::daemon_id daemon_;
    base::host_id host_;
    base::data_centre_id data_centre_;
    /// Callers and operators (HTTP, TCP). Port 0: the kernel picks.
    base::address http_{"127.0.0.1", 0};
    /// Other daemons: the same port number for UDP and TCP.
    base::address peer_{"127.0.0.1", 0};
    /// Key-value service; tried in order.
    std::vector<base::address> key_value_;
    /// Host list; empty when there is none.
    std::vector<base::address> host_list_;
    /// Peers to join by.
    std::vector<base::address> seeds_;
    /// Name in the table of scheduling policies.
    std::string policy_ = "tanagerlead";
    /// SHA-256 of the operators' key, 64 hexadecimal digits.
    std::string operator_key_hash_;
    /// Shared secret that authenticates messages between daemons.
    std::string peer_secret_;
    /// Connections of callers at one time. The name is older than the event
    /// loop, when each held a thread.
    int caller_threads_ = 1024;
    base::log_settings log_;
};

} // namespace tanagerlead::config
