#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tanagerlead::routing
{

/// A server-sent event as it came over the wire.
struct stream_event
{
    /// With the empty line that ends it. Valid until the next call.
    std::string_view bytes_;
    std::optional<std::uint64_t> id_;
};

/// Cuts the bytes of a stream into whole events and keeps them unchanged, so
/// that a stream can go on at another target after the last whole one.
class event_splitter
{
public:
    /// Larger events are an error; far above what engines send.
    static constexpr std::size_t max_event_bytes = 1 << 20;

    void feed(std::string_view bytes);
    std::optional<stream_event> next();
    /// Bytes of an event that has not ended.
    bool has_partial_event() const { return consumed_ < pending_.size(); }
    std::string_view partial_event() const
    {
        return std::string_view{pending_}.substr(consumed_);
    }
    bool is_too_large() const { return pending_.size() > max_event_bytes; }

private:
    std::string pending_;
    /// Start of what has not been handed out.
    std::size_t consumed_ = 0;
    /// Up to here no event ends.
    std::size_t scanned_ = 0;
};

} // namespace tanagerlead::routing
