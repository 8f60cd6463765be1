#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tanagerlead::routing
{

/// A server-sent event in the bytes received.
struct stream_event
{
    /// Includes the empty line that ends the event. Valid until the next call.
    std::string_view bytes_;
    std::optional<std::uint64_t> id_;
};

/// Splits a byte stream into whole server-sent events without changing them, so
/// that a stream can continue at another target after its last whole event.
class event_splitter
{
public:
    /// Larger events are an error. Engines send far smaller ones.
    static constexpr std::size_t max_event_bytes = 1 << 20;

    void feed(std::string_view bytes);
    std::optional<stream_event> next();
    /// Whether part of an event that has not ended is buffered.
    bool has_partial_event() const { return consumed_ < pending_.size(); }
    std::string_view partial_event() const
    {
        return std::string_view{pending_}.substr(consumed_);
    }
    bool is_too_large() const { return pending_.size() > max_event_bytes; }

private:
    std::string pending_;
    /// Offset of the first byte that was not returned.
    std::size_t consumed_ = 0;
    /// No event ends before this offset.
    std::size_t scanned_ = 0;
};

} // namespace tanagerlead::routing
