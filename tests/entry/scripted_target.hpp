#pragma once

#include "src/base/address.hpp"

#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace tanagerlead::test
{

/// One step of a target's answer.
struct answer_step
{
    enum class action
    {
        send,
        /// Closes in order.
        close,
        /// Closes so that the peer sees a reset.
        reset,
        /// Waits until the peer closes.
        wait_for_peer,
    };

    action action_ = action::send;
    std::string bytes_;
};

/// A target on loopback whose answers a test writes. A connection at a time.
class scripted_target
{
public:
    /// What to answer to a request, given whole.
    using script =
        std::function<std::vector<answer_step>(std::string const& request)>;

    explicit scripted_target(script answers);
    ~scripted_target();
    scripted_target(scripted_target const&) = delete;
    scripted_target& operator=(scripted_target const&) = delete;

    base::address address() const { return address_; }
    std::vector<std::string> requests() const;
    /// The peer closed while a script waited for it.
    bool has_peer_closed() const;

private:
    void accept_loop();
    void serve(int socket);
    static bool read_request(int socket, std::string& pending,
                             std::string& request);
    bool run_steps(int socket, std::vector<answer_step> const& steps);

    script script_;
    int listener_ = -1;
    base::address address_;
    mutable std::mutex mutex_;
    std::vector<std::string> requests_;
    int connection_ = -1;
    bool is_stopping_ = false;
    bool has_peer_closed_ = false;
    std::thread thread_;
};

/// Value of a header field in a request's text; empty when absent.
std::string header_value(std::string const& request, std::string const& name);

/// A whole proven answer to `request`.
std::string complete_answer(std::string const& request, int status,
                            std::string const& body);
/// Head of a proven stream in chunks.
std::string stream_head(std::string const& request);
/// One event as a chunk.
std::string event_chunk(int id);
inline std::string const stream_end = "0\r\n\r\n";

} // namespace tanagerlead::test
