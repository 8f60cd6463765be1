#include "src/entry/call.hpp"
#include "src/entry/relay_fields.hpp"

// The part of a call that passes its request to another daemon.
namespace tanagerlead::entry
{

using routing::attempt_failure;
using routing::attempt_outcome;

namespace
{

/// Daemons that one request may be passed to.
constexpr int max_relays = 2;

} // namespace

std::optional<routing::target_info> call::find_relay() const
{
    if (context_.is_relayed_ || relays_tried_ == max_relays)
    {
        return std::nullopt;
    }
    return delegate_.find_relay(context_.pool_, tried_);
}

bool call::try_relay()
{
    auto relay = find_relay();
    if (!relay && !context_.is_relayed_ && relays_tried_ < max_relays)
    {
        relay = delegate_.find_substitute(*this);
    }
    if (!relay)
    {
        return false;
    }
    ++relays_tried_;
    target_ = std::move(*relay);
    is_at_relay_ = true;
    open_channel();
    return true;
}

void call::on_pool_unreachable()
{
    auto const self = shared_from_this();
    if (state_ == state::waiting && find_relay())
    {
        delegate_.withdraw(*this);
        submit();
    }
}

net::http_request call::relayed_request() const
{
    relay_metadata metadata;
    metadata.time_left_ = deadline_ - attempt_sent_at_;
    metadata.last_event_ = last_event_;
    metadata.resumed_attempt_ = is_resumption()
                                    ? context_.metadata_.resumed_attempt_
                                    : context_.metadata_.request_id_;
    auto out = context_.request_;
    out.headers_ = delegate_.get_protocol().relay_headers(
        context_.request_.headers_, metadata);
    out.headers_.set(relay_fields::attempts, std::to_string(relayed_attempts_));
    out.headers_.set(relay_fields::pool, context_.pool_.str());
    out.headers_.set(relay_fields::configuration,
                     std::to_string(static_cast<std::uint64_t>(
                         context_.configuration_->version())));
    return out;
}

bool call::handle_relay_result()
{
    auto const* const result = answer_.headers_.find(relay_fields::result);
    if (result == nullptr)
    {
        return false;
    }
    if (*result == relay_fields::result_unreachable)
    {
        progress_.attempts_ -= relayed_attempts_;
        ++progress_.failed_connects_;
        fail(attempt_failure::not_connected, "relay reaches no target");
    }
    else if (*result == relay_fields::result_refused)
    {
        progress_.attempts_ -= relayed_attempts_;
        end_attempt(attempt_outcome::rejected);
        on_refusal(
            sched::refusal_cause::overloaded,
            net::read_retry_after(answer_.headers_).value_or(retry_elsewhere));
    }
    else
    {
        on_broken("relay failed, status " + std::to_string(answer_.status_));
    }
    return true;
}

char const* call::relay_result(int status) const
{
    if (status != 503)
    {
        return relay_fields::result_failed;
    }
    return progress_.attempts_ == 0 && progress_.failed_connects_ > 0
               ? relay_fields::result_unreachable
               : relay_fields::result_refused;
}

// The connections that a daemon has when it is cut off hang until they time
// out.
bool call::move_to_relay()
{
    if (!find_relay() || !delegate_.take_retry(context_.pool_))
    {
        return false;
    }
    channel_->close();
    channel_.reset();
    progress_.may_have_run_ = true;
    end_attempt(attempt_outcome::lost);
    state_ = state::waiting;
    submit();
    return true;
}

} // namespace tanagerlead::entry
