#include "src/routing/event_splitter.hpp"

#include <algorithm>
#include <charconv>

namespace tanagerlead::routing
{

namespace
{

std::string_view strip_carriage_return(std::string_view line)
{
    if (line.ends_with('\r'))
    {
        line.remove_suffix(1);
    }
    return line;
}

std::optional<std::uint64_t> id_of(std::string_view event)
{
    std::optional<std::uint64_t> found;
    while (!event.empty())
    {
        auto const end = event.find('\n');
        auto line = strip_carriage_return(event.substr(0, end));
        event.remove_prefix(end == std::string_view::npos ? event.size()
                                                          : end + 1);
        if (!line.starts_with("id:"))
        {
            continue;
        }
        line.remove_prefix(3);
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::uint64_t id = 0;
        auto const [rest, error] =
            std::from_chars(line.data(), line.data() + line.size(), id);
        if (error == std::errc{} && rest == line.data() + line.size())
        {
            found = id;
        }
    }
    return found;
}

} // namespace

void event_splitter::feed(std::string_view bytes)
{
    pending_.erase(0, consumed_);
    scanned_ -= std::min(scanned_, consumed_);
    consumed_ = 0;
    pending_.append(bytes);
}

std::optional<stream_event> event_splitter::next()
{
    std::string_view const all{pending_};
    auto from = std::max(consumed_, scanned_);
    while (true)
    {
        auto const line_end = all.find('\n', from);
        if (line_end == std::string_view::npos)
        {
            scanned_ = from;
            return std::nullopt;
        }
        auto const line =
            strip_carriage_return(all.substr(from, line_end - from));
        from = line_end + 1;
        if (line.empty())
        {
            auto const event = all.substr(consumed_, from - consumed_);
            consumed_ = from;
            scanned_ = from;
            return stream_event{event, id_of(event)};
        }
    }
}

} // namespace tanagerlead::routing
