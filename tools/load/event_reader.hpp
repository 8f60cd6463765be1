#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace tanagerlead::load
{

struct server_event
{
    std::string name_;
    std::string data_;
};

/// Splits a stream of server-sent events.
class event_reader
{
public:
    explicit event_reader(std::function<void(server_event const&)> on_event);

    void add(std::string_view bytes);

private:
    void take_line(std::string_view line);

    std::function<void(server_event const&)> on_event_;
    std::string rest_;
    server_event event_;
};

} // namespace tanagerlead::load
