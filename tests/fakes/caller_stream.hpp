#pragma once

#include "src/base/units.hpp"

#include <httplib.h>

#include <atomic>
#include <string>

namespace tanagerlead::fakes
{

struct caller_stream_limits
{
    /// Longest time from the first byte of a request to the end of its body.
    base::duration request_;
    /// Longest time that a write waits for a caller that does not read.
    base::duration write_;
    std::size_t most_head_bytes_ = 0;
};

enum class head_state
{
    whole,
    too_large,
    /// The caller went away, or took too long.
    gone,
};

/// A caller's connection. Reads the head of each request as a whole before the
/// library parses it, which bounds its size and time.
class caller_stream final : public httplib::Stream
{
public:
    caller_stream(socket_t socket, caller_stream_limits const& limits);

    /// Waits for the first byte of the next request; false when none came.
    bool wait_for_request(base::duration longest,
                          std::atomic<socket_t> const& server_socket) const;
    head_state read_head();
    bool peer_is_gone() const;
    /// A read failed: where the next request begins is not known.
    bool broken() const { return broken_; }

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char* to, std::size_t size) override;
    ssize_t write(char const* from, std::size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override { return socket_; }

private:
    base::duration left_for_request() const;
    bool fill();

    socket_t const socket_;
    caller_stream_limits const limits_;
    /// Received and not yet read by the library.
    std::string pending_;
    std::chrono::steady_clock::time_point request_began_;
    bool broken_ = false;
};

} // namespace tanagerlead::fakes
