#include "tools/operator/log_story.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <istream>

namespace tanagerlead::operator_tool
{

namespace
{

/// Beliefs that changed up to this long before a request may explain it.
constexpr long look_back_ms = 3000;
constexpr std::string_view time_form = "00:00:00.000";
constexpr std::array belief_marks{
    " config: ", " registry: ", " daemon: ", " control: ", " daemons: "};

bool has_time_at(std::string_view text)
{
    for (std::size_t i = 0; i < time_form.size(); ++i)
    {
        auto const is_digit =
            std::isdigit(static_cast<unsigned char>(text[i])) != 0;
        auto const fits =
            time_form[i] == '0' ? is_digit : text[i] == time_form[i];
        if (!fits)
        {
            return false;
        }
    }
    return true;
}

long number(std::string_view digits)
{
    long out = 0;
    for (auto const c : digits)
    {
        out = out * 10 + (c - '0');
    }
    return out;
}

bool is_belief(std::string_view line)
{
    return std::any_of(belief_marks.begin(), belief_marks.end(),
                       [&](std::string_view mark)
                       { return line.find(mark) != std::string_view::npos; });
}

} // namespace

long time_of(std::string_view line)
{
    for (; line.size() >= time_form.size(); line.remove_prefix(1))
    {
        if (has_time_at(line))
        {
            return ((number(line.substr(0, 2)) * 60 +
                     number(line.substr(3, 2))) *
                        60 +
                    number(line.substr(6, 2))) *
                       1000 +
                   number(line.substr(9, 3));
        }
    }
    return -1;
}

log_story::log_story(std::string const& request)
    : mark_{" request=" + request + " "}
{
}

void log_story::read(std::string const& source, std::istream& log)
{
    std::string line;
    while (std::getline(log, line))
    {
        auto const at = time_of(line);
        if (at < 0)
        {
            continue;
        }
        if ((line + " ").find(mark_) != std::string::npos)
        {
            of_request_.push_back({source, at, line});
        }
        else if (is_belief(line))
        {
            beliefs_.push_back({source, at, line});
        }
    }
}

std::vector<story_line> log_story::lines() const
{
    if (of_request_.empty())
    {
        return {};
    }
    auto out = of_request_;
    auto const [first, last] =
        std::minmax_element(out.begin(), out.end(),
                            [](story_line const& a, story_line const& b)
                            { return a.time_ms_ < b.time_ms_; });
    auto const from = first->time_ms_ - look_back_ms;
    auto const until = last->time_ms_;
    for (auto const& belief : beliefs_)
    {
        auto const at_its_daemon = std::any_of(
            of_request_.begin(), of_request_.end(),
            [&](story_line const& l) { return l.source_ == belief.source_; });
        if (at_its_daemon && belief.time_ms_ >= from &&
            belief.time_ms_ <= until)
        {
            out.push_back(belief);
        }
    }
    std::stable_sort(out.begin(), out.end(),
                     [](story_line const& a, story_line const& b)
                     { return a.time_ms_ < b.time_ms_; });
    return out;
}

} // namespace tanagerlead::operator_tool
