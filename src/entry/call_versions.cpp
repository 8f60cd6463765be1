#include "src/entry/call.hpp"

#include <algorithm>

// The part of a call that keeps a stream at the software version that began it.
namespace tanagerlead::entry
{

using namespace std::chrono_literals;

namespace
{

/// Callers leave a stream after a longer pause.
constexpr base::duration max_stream_pause = 1800ms;
/// While the registry is lost, nobody knows when it will be read again.
constexpr base::duration settle_recheck_interval = 100ms;
/// A write to the store takes some milliseconds.
constexpr base::duration start_recheck_interval = 4ms;

} // namespace

void call::on_origin(routing::origin_finding const& finding)
{
    auto const self = shared_from_this();
    if (state_ != state::waiting)
    {
        return;
    }
    origin_ = finding;
    if (finding.gap_ == routing::origin_gap::version_absent)
    {
        answer_locally(503, "no_target_of_version",
                       delegate_.retry_after(*this));
        return;
    }
    if (!finding.version_)
    {
        answer_locally(503, "unknown_version", retry_elsewhere);
        return;
    }
    version_ = *finding.version_;
    auto const* const pool = delegate_.pool_of(version_);
    if (pool == nullptr || !context_.route_->has_pool(*pool))
    {
        answer_locally(503, "no_target_of_version",
                       delegate_.retry_after(*this));
        return;
    }
    context_.pool_ = *pool;
    context_.pool_digest_ = routing::digest_of(pool->str());
    submit();
}

routing::version_finding call::version_of_stream() const
{
    return is_resumption()
               ? routing::version_finding{version_, {}}
               : delegate_.version_of(first_target_, first_connected_at_);
}

bool call::find_version()
{
    if (version_ == routing::unknown_version)
    {
        version_ = version_of_stream().version_;
    }
    return version_ != routing::unknown_version;
}

void call::begin_stream()
{
    using routing::begin_permission;
    auto const can_be_resumed = is_stream() && context_.route_->resumable_;
    auto const permission = can_be_resumed ? delegate_.may_begin_stream(*this)
                                           : begin_permission::granted;
    switch (permission)
    {
    case begin_permission::granted:
        send_if_permitted();
        return;
    case begin_permission::wait:
        settle_timer_.set_after(start_recheck_interval);
        return;
    case begin_permission::elsewhere:
        try_next_target();
        return;
    }
}

void call::on_bound_channel_open()
{
    settle_by_ = net::now() + max_stream_pause;
    send_to_version();
}

bool call::can_move() const
{
    if (!is_bound())
    {
        return true;
    }
    auto const first = version_of_stream();
    return first.version_ != routing::unknown_version && !first.known_from_;
}

void call::send_to_version()
{
    auto const first = version_of_stream();
    auto const next = delegate_.version_of(target_, channel_->connected_at());
    version_ = first.version_;
    if (version_ == routing::unknown_version || next.version_ != version_)
    {
        try_next_target();
        return;
    }
    // An empty time is before any other.
    auto const known_from = std::max(first.known_from_, next.known_from_);
    auto const now = net::now();
    if (!known_from)
    {
        // The stream may have to be taken up again after it has gone on here.
        delegate_.may_begin_stream(*this);
        send_if_permitted();
    }
    else if (now < settle_by_)
    {
        settle_timer_.set(
            std::min({*known_from, now + settle_recheck_interval, settle_by_}));
    }
    else
    {
        give_up_resumption();
    }
}

// Other targets would not be known any better.
void call::give_up_resumption()
{
    abandon_unsent();
    if (progress_.answer_started_)
    {
        apply_verdict(routing::retry_decision::truncate, "unknown_version");
        return;
    }
    answer_locally(progress_.may_have_run_ ? 502 : 503, "unknown_version",
                   retry_elsewhere);
}

void call::try_next_target()
{
    abandon_unsent();
    tried_.push_back(target_.id_);
    state_ = state::waiting;
    submit();
}

void call::on_settled()
{
    auto const self = shared_from_this();
    if (state_ == state::connecting && channel_)
    {
        if (!channel_->is_reusable())
        {
            try_next_target();
            return;
        }
        is_bound() ? send_to_version() : begin_stream();
    }
}

void call::on_first_event()
{
    if (is_at_relay_)
    {
        // The relay knows the version.
        return;
    }
    if (is_resumption())
    {
        delegate_.on_stream_resumed(*this, version_);
        return;
    }
    first_target_ = target_;
    first_connected_at_ = channel_->connected_at();
    delegate_.on_stream_begun(*this, first_connected_at_);
}

} // namespace tanagerlead::entry
