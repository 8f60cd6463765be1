#include "tests/membership/swim_network.hpp"

namespace tanagerlead::membership
{

namespace
{

constexpr auto step = std::chrono::milliseconds{10};
constexpr auto longest_delay_ms = 5;
constexpr char const* network_ip = "10.0.0.0";

member describe(std::string const& daemon, std::size_t node,
                std::uint64_t incarnation)
{
    member m;
    m.daemon_ = base::daemon_id{daemon};
    m.host_ = base::host_id{"host-" + daemon};
    m.data_centre_ = base::data_centre_id{"dc-" + std::to_string(node % 20)};
    m.peer_address_ = {network_ip, static_cast<std::uint16_t>(node + 1)};
    m.http_address_ = {network_ip, static_cast<std::uint16_t>(node + 1)};
    m.incarnation_ = base::incarnation{incarnation};
    m.origin_ = (std::uint64_t{node} << 32U) + incarnation;
    return m;
}

} // namespace

std::size_t swim_network::add(std::string const& daemon,
                              std::uint64_t incarnation)
{
    auto const number = nodes_.size();
    nodes_.push_back(
        {std::make_unique<swim>(describe(daemon, number, incarnation),
                                swim_settings{}, random_()),
         false});
    at(number).set_seeds({{network_ip, 1}});
    return number;
}

void swim_network::restart(std::size_t node, std::uint64_t incarnation)
{
    auto const daemon = at(node).self().daemon_.str();
    nodes_[node].swim_ = std::make_unique<swim>(
        describe(daemon, node, incarnation), swim_settings{}, random_());
    nodes_[node].stopped_ = false;
    at(node).set_seeds({{network_ip, 1}, {network_ip, 2}});
}

void swim_network::run(base::duration length)
{
    auto const end = now_ + length;
    while (now_ < end)
    {
        now_ += step;
        deliver_due();
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            if (!nodes_[i].stopped_ && now_ >= at(i).next_wakeup())
            {
                at(i).tick(now_);
            }
            collect(i);
        }
    }
}

void swim_network::collect(std::size_t node)
{
    for (auto const& outgoing : at(node).take_outgoing())
    {
        auto bytes = encode(outgoing.message_);
        bytes_ += bytes.size();
        largest_message_ = std::max(largest_message_, bytes.size());
        auto const to = static_cast<std::size_t>(outgoing.to_.port_) - 1;
        auto const delay =
            std::chrono::milliseconds{1 + random_.below(longest_delay_ms)};
        if (random_.uniform() >= loss_ && cuts_.count({node, to}) == 0)
        {
            in_transit_.push(
                {now_ + delay, order_, node, to, std::move(bytes)});
        }
        ++order_;
    }
}

void swim_network::deliver_due()
{
    while (!in_transit_.empty() && in_transit_.top().when_ <= now_)
    {
        auto const due = in_transit_.top();
        in_transit_.pop();
        if (nodes_[due.to_].stopped_)
        {
            continue;
        }
        auto const message = decode_swim_message(due.bytes_);
        at(due.to_).receive(at(due.from_).self().peer_address_, message.value(),
                            now_);
        collect(due.to_);
    }
}

member_state swim_network::state(std::size_t observer,
                                 std::size_t subject) const
{
    auto const& daemon = nodes_[subject].swim_->self().daemon_;
    for (auto const& known : nodes_[observer].swim_->members().members_)
    {
        if (known.daemon_ == daemon)
        {
            return known.state_;
        }
    }
    return member_state::dead;
}

bool swim_network::converged() const
{
    for (std::size_t a = 0; a < nodes_.size(); ++a)
    {
        for (std::size_t b = 0; b < nodes_.size(); ++b)
        {
            if (!nodes_[a].stopped_ && !nodes_[b].stopped_ &&
                state(a, b) != member_state::alive)
            {
                return false;
            }
        }
    }
    return true;
}

} // namespace tanagerlead::membership
