#include "src/routing/crash_detector.hpp"

namespace tanagerlead::routing
{

using namespace std::chrono_literals;

namespace
{

/// A target that cannot be reached within this time after a connection to it
/// broke has crashed with the requests that it ran.
constexpr base::duration crash_confirmation_window = 1500ms;
constexpr std::size_t max_broken_calls = 256;
/// A crash is included in reports for this long.
constexpr base::duration notice_period = 2s;

// Own and reported crashes use the same id, so that one crash counts once.
base::target_id crashed_target(id_digest digest)
{
    return base::target_id{std::to_string(static_cast<std::uint32_t>(digest))};
}

} // namespace

void crash_detector::on_broken(broken_request broken, base::time_point now)
{
    if (broken_.size() >= max_broken_calls)
    {
        broken_.pop_front();
    }
    broken_.push_back({std::move(broken), now});
}

std::vector<std::uint64_t>
crash_detector::on_unreachable(base::target_id const& target,
                               base::time_point now)
{
    while (!broken_.empty() &&
           now - broken_.front().at_ > crash_confirmation_window)
    {
        broken_.pop_front();
    }
    std::vector<std::uint64_t> found;
    auto const digest = digest_of(target.str());
    for (auto const& b : broken_)
    {
        if (b.request_.target_ != target)
        {
            continue;
        }
        auto const fingerprint = b.request_.fingerprint_;
        quarantine_.on_target_lost(fingerprint, crashed_target(digest), now);
        parts_.on_crash(digest, b.request_.pool_,
                        static_cast<std::uint32_t>(fingerprint),
                        b.request_.suspects_, b.at_);
        if (crashes_.size() >= peer_report::max_crashes)
        {
            crashes_.pop_front();
        }
        crashes_.push_back({{fingerprint, digest, 0}, now});
        found.push_back(fingerprint);
    }
    std::erase_if(broken_, [&](broken_call const& b)
                  { return b.request_.target_ == target; });
    return found;
}

void crash_detector::on_finished(std::uint64_t fingerprint,
                                 base::time_point now)
{
    quarantine_.on_finished(fingerprint, now);
}

bool crash_detector::blocked(std::uint64_t fingerprint,
                             base::time_point now) const
{
    return quarantine_.is_blocked(fingerprint, now);
}

void crash_detector::on_notice(crash_notice const& notice, base::time_point now)
{
    quarantine_.on_target_lost(notice.fingerprint_,
                               crashed_target(notice.target_),
                               now - std::chrono::milliseconds{notice.age_ms_});
}

void crash_detector::add_notices(peer_report& report, base::time_point now)
{
    while (!crashes_.empty() && now - crashes_.front().at_ > notice_period)
    {
        crashes_.pop_front();
    }
    for (auto const& crash : crashes_)
    {
        auto notice = crash.notice_;
        notice.age_ms_ =
            static_cast<std::uint16_t>(base::milliseconds(now - crash.at_));
        report.crashes_.push_back(notice);
    }
}

} // namespace tanagerlead::routing
