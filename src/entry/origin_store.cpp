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

void origin_store::write(routing::stream_message message)
{
    auto const now = net::now();
    if (lease_ && now - lease_from_ < lease_use)
    {
        put(std::move(message), *lease_);
        return;
    }
    if (waiting_.size() == max_waiting)
    {
        waiting_.erase(waiting_.begin());
    }
    waiting_.push_back(std::move(message));
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

void origin_store::put(routing::stream_message message, store_lease lease)
{
    store_.put(prefix_ + std::to_string(++writes_),
               write_stream_message(message), lease,
               calls_.wrap(
                   [this](base::result<void> const& written)
                   {
                       if (!written)
                       {
                           log_failure("Cannot keep origins of streams.",
                                       written.error());
                       }
                   }));
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
    waiting_.clear();
}

void origin_store::log_failure(char const* message, base::error const& why)
{
    log_.write(log_category::control_plane,
               log_line{message}.with("reason", why.str()), net::now());
}

} // namespace tanagerlead::entry
