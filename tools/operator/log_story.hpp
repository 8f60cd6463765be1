#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerlead::operator_tool
{

/// One line of a daemon's log.
struct story_line
{
    /// Where it comes from.
    std::string source_;
    /// Milliseconds of the day, from the line's time.
    long time_ms_ = 0;
    std::string text_;
};

/// Milliseconds of the day of the first HH:MM:SS.mmm; negative when there is
/// none.
long time_of(std::string_view line);

/// The lines of all daemons that tell of one request, in the order of time,
/// with the changes of beliefs (configuration, registry, starts and stops) at
/// those daemons from shortly before it until its end.
class log_story
{
public:
    explicit log_story(std::string const& request);

    void read(std::string const& source, std::istream& log);
    /// Empty when no line names the request.
    std::vector<story_line> lines() const;

private:
    std::string mark_;
    std::vector<story_line> of_request_;
    std::vector<story_line> beliefs_;
};

} // namespace tanagerlead::operator_tool
