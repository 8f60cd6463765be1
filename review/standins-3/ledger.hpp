#pragma once

#include "src/base/units.hpp"

#include <cstdio>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace tanagerlead::review
{

/// How a try of a client ended.
enum class try_end : std::uint8_t
{
    /// A whole answer with a status.
    answered,
    /// The connection ended or was reset before that.
    closed,
    /// No answer within the time limit of the client.
    timed_out,
};

/// What was sent, run and answered. Written to a file as it happens, and kept
/// for the verdict. May be used by several threads.
class record
{
public:
    explicit record(std::string const& path);
    ~record();
    record(record const&) = delete;
    record& operator=(record const&) = delete;

    void note(std::string const& line);
    void on_sent(std::string const& id, std::string const& daemon);
    void on_run(std::string const& id, std::string const& runner,
                bool is_sound);
    void on_end(std::string const& id, try_end end, int status);

    /// Tries that a sound runner had begun to run, of which the client's
    /// connection ended without a whole answer.
    std::vector<std::string> lost() const;
    std::size_t count(try_end end) const;
    /// Answers with this status.
    std::size_t count_status(int status) const;
    std::size_t sent() const;

private:
    struct attempt
    {
        bool is_sent_ = false;
        bool is_run_by_sound_ = false;
        bool has_ended_ = false;
        try_end end_ = try_end::answered;
        int status_ = 0;
    };

    void write(std::string const& line);

    mutable std::mutex mutex_;
    std::FILE* file_;
    base::time_point started_;
    std::map<std::string, attempt> attempts_;
};

} // namespace tanagerlead::review
