#include "src/base/pipe_appender.hpp"

#include <log4cplus/helpers/appenderattachableimpl.h>
#include <log4cplus/layout.h>

#include <poll.h>
#include <sstream>
#include <unistd.h>

namespace tanagerlead::base
{

namespace
{

/// Lines kept while the reader is slow.
constexpr std::size_t most_buffered = 262144;
/// A pipe that is writable takes this much without waiting (PIPE_BUF).
constexpr std::size_t write_size = 4096;

} // namespace

pipe_appender::~pipe_appender()
{
    destructorImpl();
}

void pipe_appender::close()
{
    flush();
    closed = true;
}

void pipe_appender::append(log4cplus::spi::InternalLoggingEvent const& event)
{
    if (buffer_.size() >= most_buffered)
    {
        ++left_out_;
        return;
    }
    if (left_out_ > 0)
    {
        buffer_.append("log: Reader was slow. lines_left_out=")
            .append(std::to_string(left_out_))
            .append("\n");
        left_out_ = 0;
    }
    std::ostringstream line;
    layout->formatAndAppend(line, event);
    buffer_.append(line.view());
    if (buffer_.size() >= write_size)
    {
        flush();
    }
}

void pipe_appender::flush()
{
    std::size_t done = 0;
    while (done < buffer_.size())
    {
        pollfd ready{descriptor_, POLLOUT, 0};
        if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
        {
            break;
        }
        auto const size = std::min(write_size, buffer_.size() - done);
        auto const wrote = ::write(descriptor_, buffer_.data() + done, size);
        if (wrote <= 0)
        {
            break;
        }
        done += static_cast<std::size_t>(wrote);
    }
    buffer_.erase(0, done);
}

} // namespace tanagerlead::base
