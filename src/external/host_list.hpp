#pragma once

#include "src/base/address.hpp"
#include "src/base/error.hpp"
#include "src/base/ids.hpp"

#include <vector>

namespace tanagerlead::external
{

enum class host_state
{
    live,
    leaving,
};

struct listed_host
{
    base::host_id host_;
    base::data_centre_id data_centre_;
    host_state state_ = host_state::live;
    /// Peer address of a daemon on it, or address of a target on it.
    base::address address_;
};

/// The platform's lagging list of hosts. Blocking; any thread.
class host_list
{
public:
    virtual ~host_list() = default;
    virtual base::result<std::vector<listed_host>> read() = 0;
};

} // namespace tanagerlead::external
