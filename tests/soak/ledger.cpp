#include "tests/soak/ledger.hpp"

#include <algorithm>

namespace tanagerlead::soak
{

namespace
{

bool says_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Statuses that a valid request may get.
bool is_expected(int status)
{
    return status <= 0 || status == 200 || status == 502 || status == 504 ||
           says_not_run(status);
}

} // namespace

void ledger::on_sent(std::string const& id, request_kind kind, bool limited)
{
    records_[id] = {kind, 0, -1, limited};
    free_sent_ += limited ? 0 : 1;
}

void ledger::on_run(std::string const& id)
{
    auto const known = records_.find(id);
    if (known == records_.end())
    {
        fail("a target got request " + id + ", which nobody sent");
        return;
    }
    ++known->second.runs_;
}

// A request that was sent twice before its first event may have begun at two
// versions; what goes on must be one of them.
void ledger::on_stream(std::string const& first_id, std::string const& version,
                       bool goes_on)
{
    auto& versions = stream_versions_[first_id];
    if (!goes_on)
    {
        versions.insert(version);
    }
    else if (!versions.contains(version))
    {
        fail("stream " + first_id + " goes on at version " + version +
             ", which did not begin it");
    }
}

void ledger::on_end(std::string const& id, int status)
{
    auto& r = records_.at(id);
    r.status_ = status;
    free_answered_ += status == 200 && !r.limited_ ? 1 : 0;
}

void ledger::fail(std::string what)
{
    broken_.push_back(std::move(what));
}

void ledger::check(std::string const& id, record const& r)
{
    auto const about = "request " + id + " (status " +
                       std::to_string(r.status_) + ", runs " +
                       std::to_string(r.runs_) + "): ";
    if (!is_expected(r.status_))
    {
        fail(about + "status of a request that was in order");
    }
    if (says_not_run(r.status_) && r.runs_ > 0)
    {
        fail(about + "called not run, and was run");
    }
    if (r.status_ == 200 && r.runs_ == 0)
    {
        fail(about + "answered, and no target ran it");
    }
    auto const most =
        r.kind_ == request_kind::non_idempotent ? 1 : max_attempts;
    if (r.runs_ > most)
    {
        fail(about + "run too often");
    }
}

void ledger::check_retries(double seconds)
{
    std::uint64_t repeated = 0;
    for (auto const& [id, r] : records_)
    {
        repeated += static_cast<std::uint64_t>(std::max(0, r.runs_ - 1));
    }
    auto const windows = 1 + seconds / retry_window_seconds;
    auto const allowed =
        retry_ratio * static_cast<double>(sent()) + retry_slack * windows;
    if (static_cast<double>(repeated) > allowed)
    {
        fail("retries over their budget: " + std::to_string(repeated) +
             " for " + std::to_string(sent()) + " requests");
    }
}

void ledger::check_quota(double seconds)
{
    auto const served =
        std::count_if(records_.begin(), records_.end(),
                      [](auto const& each) {
                          return each.second.limited_ && each.second.runs_ > 0;
                      });
    auto const allowed = quota_rate * seconds + quota_burst + quota_slack;
    if (static_cast<double>(served) > allowed)
    {
        fail("quota exceeded: " + std::to_string(served) + " requests in " +
             std::to_string(seconds) + " s");
    }
}

void ledger::close(double seconds)
{
    for (auto const& [id, r] : records_)
    {
        check(id, r);
    }
    check_retries(seconds);
    check_quota(seconds);
}

} // namespace tanagerlead::soak
