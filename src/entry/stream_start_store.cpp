#include "src/entry/stream_start_store.hpp"

#include "src/entry/report_codec.hpp"

#include <algorithm>
#include <utility>

namespace tanagerlead::entry
{

using namespace std::chrono_literals;

namespace
{

std::string const starts_prefix = "tanagerlead/starts/";
constexpr base::duration renewal_interval = 15s;
/// After the last renewal, the item is there for as long as the streams of a
/// daemon that has died may be taken up.
constexpr base::duration lease_time =
    renewal_interval + routing::stream_starts::retention + 10s;

} // namespace

stream_start_store::stream_start_store(net::asio::io_context& loop,
                                       metadata_store& store,
                                       store_era_tracker const& era,
                                       std::string const& daemon,
                                       std::uint64_t incarnation, outputs out)
    : store_{store}, era_{era}, key_{starts_prefix + daemon + "-" +
                                     std::to_string(incarnation)},
      out_{std::move(out)}, reader_{store, starts_prefix,
                                    [this](store_listing const& listing)
                                    {
                                        on_listed(listing);
                                    }},
      timer_{loop, [this]
             {
                 advance();
             }}
{
}

// If the store is restored from a copy, the item shows that this daemon was
// there, also when the copy was made before its first stream began.
void stream_start_store::prepare()
{
    if (!update_)
    {
        write({});
    }
}

void stream_start_store::write(routing::stream_starts::update update)
{
    update_ = std::move(update);
    updated_at_ = net::now();
    is_written_ = false;
    advance();
}

void stream_start_store::advance()
{
    vouch();
    if (is_busy_ || !update_)
    {
        return;
    }
    if (!lease_)
    {
        grant();
    }
    else if (!is_written_)
    {
        put();
    }
    else if (net::now() >= renew_at_)
    {
        renew();
    }
    else
    {
        timer_.set(
            std::min(renew_at_, vouch_at_.value_or(base::time_point::max())));
    }
}

void stream_start_store::vouch()
{
    if (vouch_at_.value_or(base::time_point::min()) > net::now() ||
        vouched_era_ == era_.current())
    {
        return;
    }
    vouch_at_.reset();
    vouched_era_ = era_.current();
    is_written_ = false;
}

void stream_start_store::grant()
{
    is_busy_ = true;
    store_.grant_lease(
        lease_time,
        calls_.wrap(
            [this, asked = net::now()](base::result<store_lease> const& granted)
            {
                is_busy_ = false;
                if (!granted)
                {
                    fail(granted.error());
                    return;
                }
                lease_ = granted.value();
                renew_at_ = asked + renewal_interval;
                advance();
            }));
}

void stream_start_store::put()
{
    is_busy_ = true;
    store_.put(key_, write_stream_starts(vouched_era_, update_->list_), *lease_,
               calls_.wrap([this, written = update_->revision_](
                               base::result<void> const& result)
                           { on_put(written, result); }));
}

void stream_start_store::on_put(routing::stream_starts::revision written,
                                base::result<void> const& result)
{
    is_busy_ = false;
    if (!result)
    {
        fail(result.error());
        return;
    }
    retry_pause_ = min_retry_pause;
    is_written_ = written == update_->revision_;
    if (is_written_)
    {
        auto const now = net::now();
        log_.write(log_category::control_plane,
                   log_line{"Starts of streams kept."}
                       .with("starts", static_cast<std::int64_t>(
                                           update_->list_.starts_.size()))
                       .with("era", static_cast<std::int64_t>(vouched_era_))
                       .with_ms("after_ms", now - updated_at_),
                   now);
    }
    out_.kept_(written);
    advance();
}

void stream_start_store::renew()
{
    is_busy_ = true;
    store_.renew_lease(*lease_, calls_.wrap(
                                    [this, asked = net::now()](
                                        base::result<void> const& renewed)
                                    {
                                        is_busy_ = false;
                                        if (!renewed)
                                        {
                                            fail(renewed.error());
                                            return;
                                        }
                                        renew_at_ = asked + renewal_interval;
                                        advance();
                                    }));
}

// The item vanishes with its lease.
void stream_start_store::fail(base::error const& why)
{
    if (why.code_ == base::error_code::not_found)
    {
        lease_.reset();
        is_written_ = false;
    }
    log_.write(log_category::control_plane,
               log_line{"Cannot keep the starts of streams."}.with("reason",
                                                                   why.str()),
               net::now());
    timer_.set_after(retry_pause_);
    retry_pause_ = std::min(2 * retry_pause_, max_retry_pause);
}

// The items of daemons that have died since the copy was made show an earlier
// state, or are missing. Nothing is inferred for as long as their streams may
// be taken up: the items of the daemons that have seen the restoration go on
// naming the era before, also to daemons that start later.
void stream_start_store::on_new_era()
{
    calls_.give_up_calls();
    vouch_at_ = net::now() + lease_time;
    lease_.reset();
    is_written_ = false;
    is_busy_ = false;
    reader_.on_new_era();
    advance();
}

void stream_start_store::on_listed(store_listing const& listing)
{
    if (listing.failure_)
    {
        log_.write(log_category::control_plane,
                   log_line{"Cannot read the starts of streams."}.with(
                       "reason", listing.failure_->str()),
                   net::now());
        out_.unusable_(listing.asked_);
        return;
    }
    kept_stream_starts found{listing.asked_, {}};
    for (auto const& item : listing.items_)
    {
        auto const list = read_stream_starts(era_.current(), item.value_);
        if (!list)
        {
            log_.write(
                log_category::control_plane,
                log_line{"Starts of streams are unknown."}
                    .with("key", item.key_)
                    .with("era", static_cast<std::int64_t>(era_.current())),
                net::now());
            out_.unusable_(listing.asked_);
            return;
        }
        found.lists_.push_back(*list);
    }
    out_.found_(std::move(found));
}

} // namespace tanagerlead::entry
