#pragma once

#include "src/peer/link.hpp"
#include "src/peer/socket.hpp"

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace tanagerlead::peer
{

/// One request and one answer a connection, each after a length of four
/// bytes. One call is served at a time: calls are rare and short.
class tcp_link final : public stream_link
{
public:
    static constexpr std::size_t most_frame_bytes = std::size_t{32} << 20U;

    /// Takes a bound SOCK_STREAM socket.
    explicit tcp_link(socket bound);
    ~tcp_link() override;

    base::result<std::string> call(base::address const& to,
                                   std::string const& bytes) override;
    void on_call(
        std::function<std::string(std::string const& bytes)> answer) override;

    /// After `on_call`.
    base::result<void> start();
    void stop();

private:
    void accept_loop();
    void serve(socket const& connection);

    socket listener_;
    std::function<std::string(std::string const&)> answer_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace tanagerlead::peer
