#include "src/config/config_service.hpp"

#include "src/base/log.hpp"
#include "src/config/peer_copy.hpp"
#include "src/kernel/kernel.hpp"

namespace tanagerlead::config
{

namespace
{

base::log const service_log{"config"};

std::string text_of(base::config_version version)
{
    return std::to_string(static_cast<std::uint64_t>(version));
}

} // namespace

config_service::config_service(base::daemon_id self,
                               external::key_value_store& store,
                               std::uint64_t seed)
    : store_{store}, versions_{store}, self_{std::move(self)}, seed_{seed}
{
    auto empty = std::make_shared<stored_configuration>();
    empty->configuration_ = std::make_shared<configuration const>();
    latest_ = std::move(empty);
}

base::result<void> config_service::start(kernel::kernel& services)
{
    control_ = &services.find<kernel::control_thread>(
        kernel::control_thread::service_name);
    state_ = std::make_unique<config_state>(self_, seed_, control_->now());
    store_thread_.start();
    peer_thread_.start();
    control_->post([this] { step(); });
    return base::success();
}

void config_service::stop()
{
    peer_thread_.stop();
    store_thread_.stop();
    watch_.reset();
}

snapshot config_service::current() const
{
    return latest()->configuration_;
}

config_service::stored config_service::latest() const
{
    std::lock_guard const lock{mutex_};
    return latest_;
}

base::config_version config_service::in_force() const
{
    return latest()->head_.version_;
}

void config_service::subscribe(std::function<void(snapshot const&)> listener)
{
    control_->post(
        [this, listener = std::move(listener)]
        {
            listeners_.push_back(listener);
            // A version published before this task would be missed.
            if (in_force() > base::config_version{})
            {
                listener(current());
            }
        });
}

void config_service::on_peer_version(base::daemon_id const& peer,
                                     base::address const& address,
                                     base::config_version version)
{
    control_->post(
        [this, peer, address, version]
        {
            // Heartbeats of hundreds of peers bring nothing new most times.
            if (state_->on_peer_version({peer, address}, version,
                                        control_->now()))
            {
                step();
            }
        });
}

void config_service::on_peer_gone(base::daemon_id const& peer)
{
    control_->post([this, peer] { state_->on_peer_gone(peer); });
}

void config_service::on_members(std::vector<base::daemon_id> same_data_centre)
{
    control_->post(
        [this, same_data_centre = std::move(same_data_centre)]
        {
            state_->on_members(same_data_centre, control_->now());
            step();
        });
}

void config_service::on_accepted(submit_answer const& accepted)
{
    if (!accepted.accepted_)
    {
        take_version(accepted.version_);
        return;
    }
    // The operator whose patch this is may read the configuration as soon as it
    // has the answer, so the version is in force before.
    control_->run(
        [this, stored = accepted.accepted_]
        {
            if (state_->on_accepted(stored->head_.version_, control_->now()))
            {
                publish(*stored);
            }
            step();
        });
}

void config_service::take_version(base::config_version version)
{
    control_->post(
        [this, version]
        {
            state_->on_watch(version, control_->now());
            step();
        });
}

base::result<std::string>
config_service::answer_peer(std::string const& request) const
{
    auto const have = latest();
    if (have->head_.version_ == base::config_version{})
    {
        return base::fail(base::error_code::not_found, "answer copy request",
                          {}, "no configuration yet");
    }
    return answer_copy_request(request, *have);
}

void config_service::step()
{
    auto const now = control_->now();
    auto const todo = state_->next(now);
    may_take_work_ = state_->may_take_work(now);
    if (todo.hold_watch_ != watching_)
    {
        order_watch(todo.hold_watch_);
    }
    if (todo.poll_store_)
    {
        order_poll();
    }
    if (todo.fetch_)
    {
        order_fetch(*todo.fetch_);
    }
    wake_at(todo.wake_at_);
}

void config_service::wake_at(base::time_point when)
{
    // One timer that will fire early enough is enough.
    auto const now = control_->now();
    if (wakes_at_ > now && wakes_at_ <= when)
    {
        return;
    }
    wakes_at_ = when;
    control_->post_at(when,
                      [this, when]
                      {
                          if (when == wakes_at_)
                          {
                              wakes_at_ = {};
                              step();
                          }
                      });
}

void config_service::order_watch(bool hold)
{
    watching_ = hold;
    store_thread_.post(
        [this, hold]
        {
            watch_.reset();
            if (hold)
            {
                watch_ = store_.watch(head_key, [this](auto const& entry)
                                      { take_watched(entry); });
            }
        });
}

void config_service::take_watched(external::key_value_entry const& entry)
{
    auto const told = decode_head(entry.value_);
    if (told)
    {
        take_version(told.value().version_);
    }
}

void config_service::order_poll()
{
    store_thread_.post(
        [this]
        {
            auto const read = versions_.read_head();
            std::optional<base::config_version> version;
            if (read)
            {
                version = read.value().version_;
            }
            else
            {
                service_log.debug(read.error().str() + ".");
            }
            control_->post(
                [this, version]
                {
                    state_->on_poll(version, control_->now());
                    step();
                });
        });
}

void config_service::order_fetch(fetch_order const& order)
{
    if (!order.peer_ || !fetch_from_peer_)
    {
        store_thread_.post(
            [this]
            {
                auto const known = latest();
                take_fetched(versions_.read_current(known.get()));
            });
        return;
    }
    peer_thread_.post(
        [this, peer = *order.peer_]
        {
            auto const known = latest();
            auto const answer = fetch_from_peer_(
                peer.address_, encode_copy_request(known.get()));
            take_fetched(answer ? decode_copy(answer.value(), known.get())
                                : base::result<stored_configuration>{
                                      base::failure(answer.error())});
        });
}

void config_service::take_fetched(base::result<stored_configuration> fetched)
{
    control_->post(
        [this, fetched = std::move(fetched)]
        {
            auto const now = control_->now();
            if (!fetched)
            {
                service_log.warning("A fetch failed: " + fetched.error().str() +
                                    ".");
                state_->on_fetch_failed(now);
            }
            else if (state_->on_fetched(fetched.value().head_.version_, now))
            {
                publish(fetched.value());
            }
            step();
        });
}

void config_service::publish(stored_configuration version)
{
    auto const next =
        std::make_shared<stored_configuration const>(std::move(version));
    {
        std::lock_guard const lock{mutex_};
        latest_ = next;
    }
    service_log.info("Version " + text_of(next->head_.version_) +
                     " is in force.");
    for (auto const& listener : listeners_)
    {
        listener(next->configuration_);
    }
}

} // namespace tanagerlead::config
