#pragma once

#include "src/base/address.hpp"
#include "src/base/error.hpp"
#include "src/base/units.hpp"
#include "src/http/router.hpp"

#include <memory>

namespace boost::asio
{
class io_context;
}

namespace tanagerlead::http
{

struct server_settings
{
    base::address listen_;
    /// Further ones are closed at once.
    std::size_t most_connections_ = 4096;
    std::size_t most_body_bytes_ = std::size_t{16} << 20U;
    /// Request line and headers.
    std::size_t most_head_bytes_ = std::size_t{64} << 10U;
    std::size_t most_target_bytes_ = std::size_t{8} << 10U;
    /// For a request's head, and again for its body.
    base::duration longest_request_ = std::chrono::seconds{60};
    /// A caller that takes nothing for so long is cut off.
    base::duration longest_write_ = std::chrono::seconds{30};
    base::duration keep_idle_ = std::chrono::seconds{15};
    /// For answers that are being sent when the server stops.
    base::duration longest_stop_ = std::chrono::milliseconds{500};
};

/// An HTTP server on one thread with an event loop. Handlers are registered
/// on `routes()` before `start`.
class server
{
public:
    explicit server(server_settings settings);
    ~server();

    router& routes();
    /// For work that goes with the requests; runs from `start` to `stop`.
    boost::asio::io_context& loop();

    /// Takes the port (0: the kernel picks), so that it can be announced
    /// before `start`.
    base::result<void> bind();
    /// Binds unless that was done, and begins to serve.
    base::result<void> start();
    /// Sends the answers that are there, then closes every connection. Not
    /// on the loop's thread.
    void stop();
    base::address local_address() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tanagerlead::http
