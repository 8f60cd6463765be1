#pragma once

#include <log4cplus/appender.h>

#include <cstdint>
#include <string>

namespace tanagerlead::base
{

/// Writes log events to a descriptor in batches and never waits for its
/// reader: lines that find the buffer full are left out and counted.
class pipe_appender final : public log4cplus::Appender
{
public:
    explicit pipe_appender(int descriptor) : descriptor_{descriptor} {}
    ~pipe_appender() override;

    void close() override;
    /// Writes what the descriptor takes at once.
    void flush();

protected:
    void append(log4cplus::spi::InternalLoggingEvent const& event) override;

private:
    int descriptor_;
    std::string buffer_;
    std::uint64_t left_out_ = 0;
};

} // namespace tanagerlead::base
