#include "src/peer/membership_service.hpp"

#include "src/base/log.hpp"
#include "src/base/random.hpp"
#include "src/kernel/kernel.hpp"

#include <algorithm>

namespace tanagerlead::peer
{

namespace
{
base::log const& logger()
{
    static base::log const instance{"membership"};
    return instance;
}
} // namespace

membership_service::membership_service(membership::member self,
                                       membership::swim_settings settings,
                                       socket udp, std::string secret,
                                       std::vector<base::address> seeds)
    : secret_{std::move(secret)}, seeds_{std::move(seeds)},
      link_{std::move(udp)}, own_id_{self.daemon_},
      own_origin_{self.origin_}, swim_{self, settings, self.origin_},
      view_{std::make_shared<membership::member_list>(swim_.members())},
      self_{std::move(self)}
{
    swim_.set_seeds(seeds_);
}

base::result<void> membership_service::start(kernel::kernel& services)
{
    control_ = &services.find<kernel::control_thread>(
        kernel::control_thread::service_name);
    link_.on_receive([this](base::address const& from, std::string const& bytes)
                     { receive(from, bytes); });
    link_.start();
    control_->post([this] { tick(); });
    return base::success();
}

void membership_service::stop()
{
    link_.stop();
}

membership::view membership_service::current() const
{
    std::lock_guard const lock{mutex_};
    return view_;
}

membership::member membership_service::self() const
{
    std::lock_guard const lock{mutex_};
    return self_;
}

void membership_service::subscribe(
    std::function<void(membership::view const&)> listener)
{
    control_->post(
        [this, listener = std::move(listener)]() mutable
        {
            listener(current());
            listeners_.push_back(std::move(listener));
        });
}

void membership_service::send(base::daemon_id const& to, message_kind kind,
                              std::string payload)
{
    assert(payload.size() <= most_payload_bytes);
    auto const members = current();
    for (auto const& known : members->members_)
    {
        if (known.daemon_ == to)
        {
            link_.send(known.peer_address_,
                       seal(secret_,
                            {kind, own_id_, own_origin_, std::move(payload)}));
            return;
        }
    }
}

void membership_service::on_message(message_kind kind, receiver arrived)
{
    control_->post([this, kind, arrived = std::move(arrived)]() mutable
                   { receivers_[kind] = std::move(arrived); });
}

void membership_service::leave()
{
    control_->post(
        [this]
        {
            swim_.leave();
            flush();
        });
}

void membership_service::announce_config_version(base::config_version version)
{
    control_->post(
        [this, version]
        {
            swim_.set_config_version(version);
            flush();
        });
}

void membership_service::survey()
{
    control_->post(
        [this]
        {
            swim_.survey();
            flush();
        });
}

void membership_service::hint_peers(std::vector<base::address> peers)
{
    control_->post(
        [this, peers = std::move(peers)]() mutable
        {
            peers.insert(peers.end(), seeds_.begin(), seeds_.end());
            swim_.set_seeds(std::move(peers));
        });
}

refused_datagrams membership_service::refused() const
{
    return {forged_, malformed_};
}

void membership_service::receive(base::address const& from,
                                 std::string const& bytes)
{
    // Checked on the receiving thread: a flood must not reach control.
    auto message = open(secret_, bytes);
    if (!message)
    {
        auto const forged =
            message.error().code_ == base::error_code::permission_denied;
        ++(forged ? forged_ : malformed_);
        return;
    }
    control_->post([this, from, message = std::move(message).value()]
                   { handle(from, message); });
}

void membership_service::handle(base::address const& from,
                                envelope const& message)
{
    if (message.kind_ == message_kind::membership)
    {
        handle_membership(from, message);
        return;
    }
    auto const found = receivers_.find(message.kind_);
    if (found == receivers_.end())
    {
        ++malformed_;
        return;
    }
    found->second(message.sender_, message.origin_, message.payload_);
}

void membership_service::handle_membership(base::address const& from,
                                           envelope const& message)
{
    auto const decoded = membership::decode_swim_message(message.payload_);
    if (!decoded)
    {
        ++malformed_;
        return;
    }
    swim_.receive(from, decoded.value(), control_->now());
    flush();
}

void membership_service::tick()
{
    swim_.tick(control_->now());
    flush();
    control_->post_at(swim_.next_wakeup(), [this] { tick(); });
}

void membership_service::flush()
{
    for (auto const& outgoing : swim_.take_outgoing())
    {
        link_.send(outgoing.to_,
                   seal(secret_, {message_kind::membership, own_id_,
                                  own_origin_, encode(outgoing.message_)}));
    }
    if (swim_.take_changed())
    {
        publish();
    }
}

void membership_service::publish()
{
    auto const fresh =
        std::make_shared<membership::member_list const>(swim_.members());
    {
        std::lock_guard const lock{mutex_};
        for (auto const& now : fresh->members_)
        {
            auto const same = [&now](membership::member const& old)
            {
                return old.daemon_ == now.daemon_ && old.state_ == now.state_;
            };
            auto const& before = view_->members_;
            if (std::none_of(before.begin(), before.end(), same))
            {
                logger().info(now.daemon_.str() + " is " +
                              membership::to_string(now.state_) + ".");
            }
        }
        view_ = fresh;
        self_ = swim_.self();
    }
    for (auto const& listener : listeners_)
    {
        listener(fresh);
    }
}

} // namespace tanagerlead::peer
