#include "src/entry/origin_store.hpp"

#include "src/entry/report_codec.hpp"
#include "src/net/event_loop.hpp"

#include <utility>

namespace tanagerlead::entry
{

using namespace std::chrono_literals;

namespace
{

std::string const origins_prefix = "tanagerlead/origins/";
/// Items are written under one lease for a while, which is not renewed, so they
/// vanish together.
constexpr base::duration lease_use = 15s;
constexpr base::duration lease_time = lease_use + 20s;
/// While no lease can be had, streams go on beginning.
constexpr std::size_t max_waiting = 64;

void report(origin_store::written_callback const& done,
            base::result<void> const& written)
{
    if (done)
    {
        done(written);
    }
}

base::error not_written(base::error_code code, char const* why)
{
    return {code, "keep origins", "store", why};
}

} // namespace

origin_store::origin_store(metadata_store& store, std::string const& daemon,
                           std::uint64_t incarnation, read_callback found)
    : store_{store}, prefix_{origins_prefix + daemon + "-" +
                             std::to_string(incarnation) + "-"},
      found_{std::move(found)}, reader_{store, origins_prefix,
                                        [this](store_listing const& listing)
                                        {
                                            on_listed(listing);
                                        }}
{
}

void origin_store::write(routing::stream_message message, written_callback done)
{
    auto const now = net::now();
    write_call call{std::move(message), std::move(done)};
    if (lease_ && now - lease_from_ < lease_use)
    {
        put(std::move(call), *lease_);
        return;
    }
    if (waiting_.size() == max_waiting)
    {
        auto const dropped = std::move(waiting_.front());
        waiting_.erase(waiting_.begin());
        report(dropped.done_,
               base::failure(not_written(base::error_code::not_sent,
                                         "too many batches wait for a lease")));
    }
    waiting_.push_back(std::move(call));
    if (std::exchange(is_leasing_, true))
    {
        return;
    }
    store_.grant_lease(
        lease_time, calls_.wrap(
                        [this, now](base::result<store_lease> const& granted)
                        {
                            is_leasing_ = false;
                            if (!granted)
                            {
                                log_failure("Cannot keep origins of streams.",
                                            granted.error());
                                return;
                            }
                            lease_ = granted.value();
                            lease_from_ = now;
                            for (auto& each : std::exchange(waiting_, {}))
                            {
                                put(std::move(each), *lease_);
                            }
                        }));
}

void origin_store::put(write_call call, store_lease lease)
{
    auto const number = ++writes_;
    in_flight_.emplace(number, std::move(call.done_));
    store_.put(prefix_ + std::to_string(number),
               write_stream_message(call.message_), lease,
               calls_.wrap([this, number](base::result<void> const& written)
                           { finish(number, written); }));
}

void origin_store::finish(std::uint64_t number,
                          base::result<void> const& written)
{
    if (!written)
    {
        log_failure("Cannot keep origins of streams.", written.error());
    }
    auto const call = in_flight_.extract(number);
    report(call.mapped(), written);
}

void origin_store::on_listed(store_listing const& listing)
{
    if (listing.failure_)
    {
        log_failure("Cannot read the origins of streams.", *listing.failure_);
    }
    for (auto const& item : listing.items_)
    {
        if (auto message = read_stream_message(item.value_))
        {
            message->questions_.clear();
            found_(std::move(*message));
        }
    }
}

// A lease of the earlier era may belong to another daemon now.
void origin_store::on_new_era()
{
    calls_.give_up_calls();
    lease_.reset();
    is_leasing_ = false;
    reader_.on_new_era();
    auto const lost = not_written(base::error_code::unknown_effect,
                                  "the store was restored meanwhile");
    for (auto const& [number, done] : std::exchange(in_flight_, {}))
    {
        report(done, base::failure(lost));
    }
    for (auto const& each : std::exchange(waiting_, {}))
    {
        report(each.done_, base::failure(lost));
    }
}

void origin_store::log_failure(char const* message, base::error const& why)
{
    log_.write(log_category::control_plane,
               log_line{message}.with("reason", why.str()), net::now());
}

} // namespace tanagerlead::entry
