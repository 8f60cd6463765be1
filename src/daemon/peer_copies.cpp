#include "src/daemon/peer_copies.hpp"

#include "src/kernel/kernel.hpp"

namespace tanagerlead::daemon_parts
{

namespace
{
// Membership tells of changes only; contact with peers counts as well.
constexpr auto repeat_interval = std::chrono::seconds{10};

bool is_reachable(membership::member const& m)
{
    return m.state_ == membership::member_state::alive ||
           m.state_ == membership::member_state::leaving;
}
} // namespace

peer_copies::peer_copies(peer::socket tcp, std::string secret,
                         membership::member const& self)
    : link_{std::move(tcp)}, secret_{std::move(secret)}, own_id_{self.daemon_},
      own_origin_{self.origin_}, data_centre_{self.data_centre_}
{
}

base::result<std::string> peer_copies::fetch(base::address const& from,
                                             std::string const& request)
{
    auto sealed = link_.call(from, seal(request));
    if (!sealed)
    {
        return sealed.error();
    }
    return open(sealed.value(), from.str());
}

base::result<void> peer_copies::start(kernel::kernel& services)
{
    config_ = &services.find<config::config_service>(
        config::config_service::service_name);
    members_ = &services.find<peer::membership_service>(
        peer::membership_service::service_name);
    control_ = &services.find<kernel::control_thread>(
        kernel::control_thread::service_name);
    members_->subscribe([this](membership::view const& view)
                        { on_members(view); });
    config_->subscribe(
        [this](config::snapshot const& snapshot)
        { members_->announce_config_version(snapshot->version_); });
    control_->post([this] { repeat(); });
    link_.on_call([this](std::string const& sealed) { return answer(sealed); });
    return link_.start();
}

std::string peer_copies::answer(std::string const& sealed)
{
    auto const request = open(sealed, {});
    if (!request)
    {
        return {};
    }
    auto const copy = config_->answer_peer(request.value());
    return copy ? seal(copy.value()) : std::string{};
}

void peer_copies::on_members(membership::view const& view)
{
    std::set<base::daemon_id> reachable;
    std::vector<base::daemon_id> same_data_centre;
    for (auto const& m : view->members_)
    {
        if (!is_reachable(m))
        {
            continue;
        }
        if (m.data_centre_ == data_centre_)
        {
            same_data_centre.push_back(m.daemon_);
        }
        if (m.daemon_ != own_id_)
        {
            reachable.insert(m.daemon_);
            config_->on_peer_version(m.daemon_, m.peer_address_,
                                     m.config_version_);
        }
    }
    for (auto const& daemon : known_)
    {
        if (reachable.count(daemon) == 0)
        {
            config_->on_peer_gone(daemon);
        }
    }
    known_ = std::move(reachable);
    config_->on_members(std::move(same_data_centre));
}

void peer_copies::repeat()
{
    on_members(members_->current());
    control_->post_at(control_->now() + repeat_interval, [this] { repeat(); });
}

std::string peer_copies::seal(std::string const& payload) const
{
    return peer::seal(secret_, {peer::message_kind::configuration, own_id_,
                                own_origin_, payload});
}

base::result<std::string> peer_copies::open(std::string const& sealed,
                                            std::string const& peer) const
{
    auto message = peer::open(secret_, sealed);
    if (!message)
    {
        auto problem = message.error();
        problem.peer_ = peer;
        return problem;
    }
    if (message.value().kind_ != peer::message_kind::configuration)
    {
        return base::fail(base::error_code::corrupt, "copy configuration", peer,
                          "message of another kind");
    }
    return std::move(message).value().payload_;
}

} // namespace tanagerlead::daemon_parts
