#include "src/request/sse.hpp"

#include <charconv>

namespace tanagerlead::request
{

namespace
{

std::optional<std::uint64_t> parse_id(std::string_view text)
{
    std::uint64_t value = 0;
    auto const* end = text.data() + text.size();
    auto const [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || stop != end)
    {
        return std::nullopt;
    }
    return value;
}

} // namespace

bool sse_parser::feed(std::string_view bytes, std::vector<sse_event>& out)
{
    for (auto const byte : bytes)
    {
        auto const second_of_pair = after_carriage_return_ && byte == '\n';
        after_carriage_return_ = byte == '\r';
        if (second_of_pair)
        {
            continue;
        }
        if (byte == '\n' || byte == '\r')
        {
            end_line(out);
            continue;
        }
        line_ += byte;
        if (line_.size() + event_.data_.size() > most_event_bytes_)
        {
            return false;
        }
    }
    return true;
}

void sse_parser::end_line(std::vector<sse_event>& out)
{
    if (line_.empty())
    {
        if (has_data_)
        {
            out.push_back(std::move(event_));
        }
        event_ = {};
        has_data_ = false;
        return;
    }
    std::string_view const line = line_;
    auto const colon = line.find(':');
    if (colon != 0)
    {
        auto value = colon == std::string_view::npos ? std::string_view{}
                                                     : line.substr(colon + 1);
        if (value.starts_with(' '))
        {
            value.remove_prefix(1);
        }
        take_field(line.substr(0, colon), value);
    }
    line_.clear();
}

void sse_parser::take_field(std::string_view name, std::string_view value)
{
    if (name == "data")
    {
        if (has_data_)
        {
            event_.data_ += '\n';
        }
        event_.data_ += value;
        has_data_ = true;
    }
    else if (name == "id")
    {
        event_.id_ = parse_id(value);
    }
    else if (name == "event")
    {
        event_.name_ = value;
    }
}

std::string serialize(sse_event const& event)
{
    std::string text;
    if (event.id_)
    {
        text += "id: " + std::to_string(*event.id_) + '\n';
    }
    if (!event.name_.empty())
    {
        text += "event: " + event.name_ + '\n';
    }
    std::string_view rest = event.data_;
    while (true)
    {
        auto const end = rest.find('\n');
        text += "data: ";
        text += rest.substr(0, end);
        text += '\n';
        if (end == std::string_view::npos)
        {
            break;
        }
        rest.remove_prefix(end + 1);
    }
    return text + '\n';
}

} // namespace tanagerlead::request
