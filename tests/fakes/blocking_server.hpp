#pragma once

#include "src/base/address.hpp"
#include "src/base/error.hpp"
#include "src/base/units.hpp"

#include <memory>
#include <thread>

namespace httplib
{
class Server;
}

namespace tanagerlead::fakes
{

struct blocking_server_settings
{
    base::address listen_;
    int threads_ = 64;
    std::size_t most_body_bytes_ = std::size_t{16} << 20U;
    /// Request line and headers.
    std::size_t most_head_bytes_ = std::size_t{64} << 10U;
    /// From a request's first byte to the end of its body.
    base::duration longest_request_ = std::chrono::seconds{60};
    /// A caller that reads nothing for so long is cut off.
    base::duration longest_write_ = std::chrono::seconds{30};
    base::duration keep_idle_ = std::chrono::seconds{15};
};

/// An HTTP server on a thread of its own with a listen backlog that takes
/// bursts. Handlers are registered on `routes()` before `start`.
class blocking_server
{
public:
    explicit blocking_server(blocking_server_settings settings);
    ~blocking_server();

    httplib::Server& routes();

    /// Takes the port (0: the kernel picks), so that it can be announced
    /// before `start`.
    base::result<void> bind();
    /// Binds unless that was done, and begins to serve.
    base::result<void> start();
    void stop();
    base::address local_address() const { return local_; }

private:
    class deep_backlog_server;

    blocking_server_settings settings_;
    std::unique_ptr<deep_backlog_server> server_;
    base::address local_;
    bool bound_ = false;
    std::thread thread_;
};

} // namespace tanagerlead::fakes
