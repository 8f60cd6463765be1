#pragma once

#include "src/base/error.hpp"
#include "src/base/ids.hpp"
#include "src/base/units.hpp"
#include "src/net/http_message.hpp"
#include "src/request/outcome.hpp"

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace tanagerlead::request
{

/// What is known of an answer before its content.
struct answer_head
{
    /// HTTP status that the target gave.
    int status_ = 0;
    std::string content_type_;
    /// Whether the content is a stream of events.
    bool stream_ = false;
    base::target_id target_;
    /// Further headers for the caller.
    std::vector<net::header_field> headers_{};
};

/// How a request ended.
struct answer_end
{
    outcome outcome_ = outcome::unknown;
    /// HTTP status for a caller that got no head.
    int status_ = 0;
    /// Word for programs; empty for a complete answer.
    std::string code_;
    /// For people: step, peer and what went wrong.
    base::error error_;
    /// When trying again makes sense; zero when it does not.
    base::duration retry_after_{};
};

/// Answer to one request: written once by the thread that talks to the target
/// and read by any number of callers, each at its own speed. Events have the
/// numbers 1, 2, ... Any thread.
class answer_buffer
{
public:
    /// What a reader has not seen yet.
    struct slice
    {
        std::string bytes_;
        /// Number of the last event in `bytes_`, or what was asked for.
        std::uint64_t last_ = 0;
        /// Set when no event will follow `last_`.
        std::optional<answer_end> end_;
    };

    explicit answer_buffer(std::size_t most_bytes) : most_bytes_{most_bytes} {}

    void begin(answer_head head);
    /// Adds one event, ready for the wire. False, and nothing is added, when
    /// the buffer would grow past its limit.
    bool append(std::string event);
    /// Only the first end counts.
    void finish(answer_end end);

    /// Events after number `after`, as far as they are there.
    slice read_after(std::uint64_t after) const;
    /// All events so far.
    std::string content() const;

    /// Called after each change, by the thread that made it and under the
    /// buffer's lock: it may only leave a note for another thread.
    using listener = std::function<void()>;
    /// Returns a number for `unsubscribe`, after which no call comes.
    std::uint64_t subscribe(listener changed);
    void unsubscribe(std::uint64_t subscription);

    std::optional<answer_head> head() const;
    std::optional<answer_end> end() const;
    std::uint64_t last_event() const;
    std::size_t bytes() const;
    std::size_t most_bytes() const { return most_bytes_; }

private:
    void tell_all();

    std::size_t const most_bytes_;
    mutable std::mutex mutex_;
    std::optional<answer_head> head_;
    std::deque<std::string> events_;
    std::size_t bytes_ = 0;
    std::optional<answer_end> end_;
    std::map<std::uint64_t, listener> listeners_;
    std::uint64_t next_subscription_ = 1;
};

} // namespace tanagerlead::request
