#include "src/entry/daemon_registration.hpp"

namespace tanagerlead::entry
{

using namespace std::chrono_literals;

namespace
{

std::string const daemons_prefix = "tanagerlead/daemons/";
/// Longer than three missed renewals.
constexpr base::duration lease_time = 16s;
constexpr base::duration renewal_interval = 5s;
/// Delay after a failed call.
constexpr base::duration retry_interval = 2s;
/// Spreads the registrations of all daemons after the store was restored.
constexpr base::duration max_restart_delay = 1s;

} // namespace

daemon_registration::daemon_registration(net::asio::io_context& loop,
                                         metadata_store& store,
                                         std::string name, std::string ip,
                                         publish_callback publish)
    : store_{store}, name_{std::move(name)}, ip_{std::move(ip)},
      publish_{std::move(publish)}, timer_{loop, [this]
                                           {
                                               on_timer();
                                           }}
{
}

void daemon_registration::start()
{
    on_timer();
}

void daemon_registration::on_timer()
{
    if (is_shutting_down_)
    {
        return;
    }
    timer_.set_after(retry_interval);
    if (lease_)
    {
        renew();
    }
    else
    {
        register_daemon();
    }
}

void daemon_registration::on_new_era()
{
    calls_.give_up_calls();
    lease_.reset();
    if (!is_shutting_down_)
    {
        timer_.set_after(base::from_seconds(base::seconds(max_restart_delay) *
                                            random_.uniform()));
    }
}

void daemon_registration::register_daemon()
{
    store_.grant_lease(lease_time,
                       calls_.wrap(
                           [this](base::result<store_lease> const& granted)
                           {
                               if (!granted)
                               {
                                   log_failure("Cannot register this daemon.",
                                               granted.error());
                               }
                               else if (!is_shutting_down_)
                               {
                                   write_entry(granted.value());
                               }
                           }));
}

void daemon_registration::write_entry(store_lease lease)
{
    store_.put(daemons_prefix + name_, ip_, lease,
               calls_.wrap(
                   [this, lease](base::result<void> const& written)
                   {
                       // A lease without a key expires by itself.
                       if (written)
                       {
                           lease_ = lease;
                       }
                       else
                       {
                           log_failure("Cannot register this daemon.",
                                       written.error());
                       }
                       read_daemons();
                   }));
}

void daemon_registration::renew()
{
    store_.renew_lease(
        *lease_, calls_.wrap(
                     [this](base::result<void> const& renewed)
                     {
                         if (!renewed && renewed.error().code_ ==
                                             base::error_code::not_found)
                         {
                             log_.write(log_category::control_plane,
                                        log_line{"Registration lease expired."},
                                        net::now());
                             lease_.reset();
                             return;
                         }
                         if (!renewed)
                         {
                             log_failure("Cannot renew the registration lease.",
                                         renewed.error());
                             return;
                         }
                         read_daemons();
                     }));
}

void daemon_registration::read_daemons()
{
    store_.list(daemons_prefix, "", true,
                [this](base::result<store_page> page)
                {
                    if (!page)
                    {
                        log_failure("Cannot list the registered daemons.",
                                    page.error());
                        return;
                    }
                    std::vector<std::string> ips;
                    for (auto const& item : page.value().items_)
                    {
                        ips.push_back(item.value_);
                    }
                    timer_.set_after(renewal_interval);
                    publish_(std::move(ips));
                },
                {});
}

void daemon_registration::log_failure(char const* message,
                                      base::error const& why)
{
    log_.write(log_category::control_plane,
               log_line{message}.with("reason", why.str()), net::now());
}

void daemon_registration::shut_down(std::function<void()> done)
{
    is_shutting_down_ = true;
    timer_.clear();
    if (!lease_)
    {
        done();
        return;
    }
    store_.remove(daemons_prefix + name_,
                  [done = std::move(done)](base::result<void> const&)
                  { done(); });
}

} // namespace tanagerlead::entry
