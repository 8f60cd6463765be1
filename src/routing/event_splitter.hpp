#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tanagerlead::routing
{

/// A server-sent event as it came over the wire.
struct whole_event
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
    static constexpr std::size_t most_event_bytes = 1 << 20;

    void feed(std::string_view bytes);
    std::optional<whole_event> next();
    /// Bytes of an event that has not ended.
    bool has_rest() const { return taken_ < pending_.size(); }
    std::string_view rest() const
    {
        return std::string_view{pending_}.substr(taken_);
    }
    bool is_too_large() const { return pending_.size() > most_event_bytes; }

private:
    std::string pending_;
    /// Start of what has not been handed out.
    std::size_t taken_ = 0;
    /// Up to here no event ends.
    std::size_t searched_ = 0;
};

} // namespace tanagerlead::routing
