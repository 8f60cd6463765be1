#pragma once

#include "src/base/address.hpp"
#include "src/base/clock.hpp"
#include "src/external/host_list.hpp"
#include "tests/fakes/blocking_server.hpp"

#include <memory>
#include <mutex>
#include <vector>

namespace tanagerlead::fakes
{

struct host_list_faults
{
    /// A change shows after this time.
    base::duration lag_{};
    /// Every read is answered with status 503.
    bool down_ = false;
    /// Every read is answered with something that is no list.
    bool garbled_ = false;
};

/// Host list over HTTP (`GET /hosts`), set by `POST /fake/hosts` (the same
/// shape, or `{"hosts":[...],"lag_ms":N,"down":bool}`).
class fake_host_list
{
public:
    fake_host_list(base::address listen, base::clock const& clock);

    base::result<void> start();
    void stop();
    base::address local_address() const;

    void set_hosts(std::vector<external::listed_host> hosts);
    void set_faults(host_list_faults const& faults);

private:
    struct listing
    {
        base::time_point shows_from_;
        std::vector<external::listed_host> hosts_;
    };

    std::vector<external::listed_host> visible();
    void add_routes();

    base::clock const& clock_;
    blocking_server server_;
    std::mutex mutex_;
    /// Oldest first.
    std::vector<listing> listings_;
    host_list_faults faults_;
};

} // namespace tanagerlead::fakes
