#include "tools/load/event_reader.hpp"

namespace tanagerlead::load
{

namespace
{

bool take_field(std::string_view line, std::string_view name, std::string& to)
{
    if (line.rfind(name, 0) != 0)
    {
        return false;
    }
    line.remove_prefix(name.size());
    if (!line.empty() && line.front() == ' ')
    {
        line.remove_prefix(1);
    }
    to = line;
    return true;
}

} // namespace

event_reader::event_reader(std::function<void(server_event const&)> on_event)
    : on_event_{std::move(on_event)}
{
}

void event_reader::add(std::string_view bytes)
{
    rest_ += bytes;
    std::size_t begin = 0;
    for (auto end = rest_.find('\n'); end != std::string::npos;
         end = rest_.find('\n', begin))
    {
        take_line(std::string_view{rest_}.substr(begin, end - begin));
        begin = end + 1;
    }
    rest_.erase(0, begin);
}

void event_reader::take_line(std::string_view line)
{
    if (!line.empty() && line.back() == '\r')
    {
        line.remove_suffix(1);
    }
    if (line.empty())
    {
        if (!event_.data_.empty() || !event_.name_.empty())
        {
            on_event_(event_);
        }
        event_ = {};
        return;
    }
    take_field(line, "event:", event_.name_) ||
        take_field(line, "data:", event_.data_);
}

} // namespace tanagerlead::load
