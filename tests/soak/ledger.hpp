#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tanagerlead::soak
{

/// What a route lets be repeated.
enum class request_kind : std::uint8_t
{
    idempotent,
    non_idempotent,
    /// May be resumed.
    stream,
};

/// Of the routes of a soak.
constexpr int max_attempts = 2;
constexpr double retry_ratio = 0.2;
constexpr double retry_slack = 20;
constexpr double retry_window_seconds = 10;
/// Requests of the limited workspace.
constexpr double quota_rate = 40;
constexpr double quota_burst = 20;
constexpr double quota_slack = 40;

/// What callers got of each request and what targets ran of it, held against
/// the promises.
class ledger
{
public:
    /// `limited`: of the workspace with a quota.
    void on_sent(std::string const& id, request_kind kind, bool limited);
    /// A target began to run it.
    void on_run(std::string const& id);
    /// A target of this version begins to answer the stream of an attempt, or
    /// goes on with it.
    void on_stream(std::string const& first_id, std::string const& version,
                   bool goes_on);
    /// The caller's end of it; 0: without a whole answer.
    void on_end(std::string const& id, int status);
    /// Something that must not happen.
    void fail(std::string what);

    /// Promises that can only be judged when nothing runs any more, after
    /// callers sent for so many seconds.
    void close(double seconds);

    std::vector<std::string> const& broken() const { return broken_; }
    std::uint64_t sent() const { return records_.size(); }
    /// Requests without a quota, and those of them that got their answer.
    std::uint64_t free_sent() const { return free_sent_; }
    std::uint64_t free_answered() const { return free_answered_; }

private:
    struct record
    {
        request_kind kind_ = request_kind::idempotent;
        int runs_ = 0;
        /// -1: no end yet.
        int status_ = -1;
        bool limited_ = false;
    };

    void check(std::string const& id, record const& r);
    void check_retries(double seconds);
    void check_quota(double seconds);

    std::map<std::string, record> records_;
    /// Versions that may have brought the first event of a stream.
    std::map<std::string, std::set<std::string>> stream_versions_;
    std::vector<std::string> broken_;
    std::uint64_t free_sent_ = 0;
    std::uint64_t free_answered_ = 0;
};

} // namespace tanagerlead::soak
