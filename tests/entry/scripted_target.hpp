#pragma once

#include "src/base/address.hpp"

#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace tanagerlead::test
{

/// One step of a scripted answer.
struct answer_step
{
    enum class action
    {
        send,
        /// Sends the bytes again and again until the peer closes the
        /// connection.
        send_without_end,
        /// Closes the connection normally.
        close,
        /// Resets the connection.
        reset,
        /// Closes the listener and resets the connection.
        crash,
        /// Waits until the peer closes the connection.
        wait_for_peer,
        /// Sends nothing for a second.
        fall_silent,
    };

    action action_ = action::send;
    std::string bytes_;
};

/// A target on loopback that answers from a script. Serves one connection at a
/// time.
class scripted_target
{
public:
    /// Returns the steps of the answer to a complete request.
    using script =
        std::function<std::vector<answer_step>(std::string const& request)>;

    explicit scripted_target(script answers);
    ~scripted_target();
    scripted_target(scripted_target const&) = delete;
    scripted_target& operator=(scripted_target const&) = delete;

    base::address address() const { return address_; }
    std::vector<std::string> requests() const;
    bool has_crashed() const;
    /// Whether the peer closed the connection during a `wait_for_peer` step.
    bool has_peer_closed() const;
    /// Bytes that were sent in steps without an end.
    std::size_t endless_bytes() const;

private:
    void accept_loop();
    void serve(int socket);
    static bool read_request(int socket, std::string& pending,
                             std::string& request);
    void crash();
    void send_without_end(int socket, std::string const& bytes);
    bool run_steps(int socket, std::vector<answer_step> const& steps);

    script script_;
    int listener_ = -1;
    base::address address_;
    mutable std::mutex mutex_;
    std::vector<std::string> requests_;
    int connection_ = -1;
    bool is_stopping_ = false;
    bool has_peer_closed_ = false;
    bool has_crashed_ = false;
    std::size_t endless_bytes_ = 0;
    std::thread thread_;
};

/// Returns the value of a header field of a raw request; empty if absent.
std::string header_value(std::string const& request, std::string const& name);

/// Returns a complete signed answer to `request`.
std::string complete_answer(std::string const& request, int status,
                            std::string const& body);
/// Returns the head of a signed stream with chunked encoding.
std::string stream_head(std::string const& request);
/// Returns an event encoded as one chunk.
std::string event_chunk(int id);
inline std::string const stream_end = "0\r\n\r\n";

} // namespace tanagerlead::test
