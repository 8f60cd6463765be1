#pragma once

#include "http.hpp"

#include <fstream>
#include <mutex>

namespace tanagerlead::review
{

/// What was sent, answered and run, one line each with the time since the
/// start.
class record
{
public:
    explicit record(std::string const& path);

    void add(std::string const& line);
    /// Milliseconds since the start.
    std::int64_t now() const;

private:
    steady::time_point const start_ = steady::now();
    std::mutex mutex_;
    std::ofstream out_;
};

} // namespace tanagerlead::review
