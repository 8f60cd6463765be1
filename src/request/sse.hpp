#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerlead::request
{

/// One server-sent event.
struct sse_event
{
    std::optional<std::uint64_t> id_;
    /// Empty for an ordinary message.
    std::string name_;
    /// Lines are joined by a line feed.
    std::string data_;
};

/// Reads server-sent events from bytes that may be split anywhere.
class sse_parser
{
public:
    explicit sse_parser(std::size_t most_event_bytes)
        : most_event_bytes_{most_event_bytes}
    {
    }

    /// Appends the events that `bytes` completes. False when one event is
    /// larger than the limit; the parser is of no use after that.
    bool feed(std::string_view bytes, std::vector<sse_event>& out);

private:
    void end_line(std::vector<sse_event>& out);
    void take_field(std::string_view name, std::string_view value);

    std::size_t most_event_bytes_;
    std::string line_;
    sse_event event_;
    bool has_data_ = false;
    bool after_carriage_return_ = false;
};

/// The event as it goes over the wire, with its empty last line.
std::string serialize(sse_event const& event);

} // namespace tanagerlead::request
