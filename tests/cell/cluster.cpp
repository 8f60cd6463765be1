#include "tests/cell/cluster.hpp"

#include "src/cell/timing.hpp"
#include "tests/cell/fifo_scheduler.hpp"

#include <algorithm>
#include <utility>

namespace tanagerlead::cell
{

namespace
{
constexpr std::size_t most_payload_bytes = 1200;
} // namespace

std::unique_ptr<sched::cell_scheduler> make_fifo_scheduler()
{
    return std::make_unique<fifo_scheduler>();
}

config::configuration small_configuration(int targets, int slots)
{
    config::configuration made;
    made.version_ = base::config_version{1};
    made.tiers_ = {{base::tier{0}, "gold", std::chrono::seconds{30}},
                   {base::tier{1}, "silver", std::chrono::seconds{30}}};
    config::workspace_config workspace;
    workspace.id_ = base::workspace_id{"brest"};
    workspace.pools_ = {base::pool_id{"report"}};
    made.workspaces_ = {workspace};
    made.pools_ = {{base::pool_id{"report"}, config::pool_kind::model}};
    for (int i = 0; i < targets; ++i)
    {
        config::target_config target;
        target.id_ = base::target_id{"r" + std::to_string(i)};
        target.pools_ = {base::pool_id{"report"}};
        target.address_ = {"127.0.0.1", static_cast<std::uint16_t>(9000 + i)};
        target.data_centre_ = base::data_centre_id{"brest"};
        target.slots_ = slots;
        made.targets_.push_back(target);
    }
    return made;
}

cluster::cluster(std::size_t nodes, std::uint64_t seed, bool has_host_list,
                 scheduler_factory make_scheduler)
    : random_{seed}, has_host_list_{has_host_list}, make_scheduler_{std::move(
                                                        make_scheduler)}
{
    config_ = std::make_shared<config::configuration const>(
        small_configuration(2, 2));
    nodes_.resize(nodes);
    for (std::size_t i = 0; i < nodes; ++i)
    {
        nodes_[i].life_.daemon_ = base::daemon_id{"d" + std::to_string(i)};
        start(i);
    }
    spread_members();
    run_for(timing::settling_time);
}

void cluster::start(std::size_t i)
{
    nodes_[i].life_.origin_ = ++last_origin_;
    nodes_[i].frozen_ = false;
    nodes_[i].state_ = membership::member_state::alive;
    coordinator_settings settings;
    settings.has_host_list_ = has_host_list_;
    settings.self_ = nodes_[i].life_;
    settings.data_centre_ = base::data_centre_id{"brest"};
    settings.make_scheduler_ = make_scheduler_;
    nodes_[i].coordinator_ = std::make_unique<coordinator>(std::move(settings));
    at(i).on_config(config_, now_);
}

void cluster::set_config(config::configuration const& configuration)
{
    config_ = std::make_shared<config::configuration const>(configuration);
    for (std::size_t i = 0; i < size(); ++i)
    {
        if (nodes_[i].coordinator_)
        {
            at(i).on_config(config_, now_);
            advance(i);
        }
    }
}

void cluster::cut(std::size_t a, std::size_t b, bool is_cut)
{
    cuts_[{a, b}] = is_cut;
    cuts_[{b, a}] = is_cut;
}

void cluster::crash(std::size_t i)
{
    nodes_[i].coordinator_.reset();
    nodes_[i].unread_.clear();
    nodes_[i].state_ = membership::member_state::dead;
}

void cluster::restart(std::size_t i)
{
    start(i);
}

void cluster::freeze(std::size_t i, bool frozen)
{
    nodes_[i].frozen_ = frozen;
    for (auto const& arrived : std::exchange(nodes_[i].unread_, {}))
    {
        deliver(arrived);
    }
}

void cluster::set_state(std::size_t i, membership::member_state state)
{
    nodes_[i].state_ = state;
}

membership::view cluster::members() const
{
    auto list = std::make_shared<membership::member_list>();
    for (auto const& node : nodes_)
    {
        membership::member m;
        m.daemon_ = node.life_.daemon_;
        m.data_centre_ = base::data_centre_id{"brest"};
        m.origin_ = node.life_.origin_;
        m.state_ = node.state_;
        list->members_.push_back(m);
    }
    return list;
}

void cluster::spread_members()
{
    for (std::size_t i = 0; i < size(); ++i)
    {
        if (runs(i))
        {
            show_members(i);
        }
    }
}

void cluster::show_members(std::size_t i)
{
    at(i).on_members(members(), now_);
    advance(i);
}

sched::work_item cluster::item(base::request_id request) const
{
    return items_.at(request);
}

base::request_id cluster::submit(std::size_t i, int tier,
                                 std::uint64_t fingerprint)
{
    sched::work_item item;
    item.request_ = {life(i).origin_, ++last_sequence_};
    item.entry_ = life(i).daemon_;
    item.workspace_ = base::workspace_id{"brest"};
    item.pool_ = base::pool_id{"report"};
    item.tier_ = base::tier{static_cast<std::uint8_t>(tier)};
    item.fingerprint_ = fingerprint;
    item.received_ = now_;
    items_[item.request_] = item;
    at(i).submit(item, now_);
    advance(i);
    return item.request_;
}

void cluster::withdraw(std::size_t i, base::request_id request)
{
    at(i).withdraw(request, now_);
    advance(i);
}

void cluster::report(std::size_t i, base::request_id request,
                     base::target_id const& target, sched::dispatch_event event)
{
    sched::dispatch_report made;
    made.request_ = request;
    made.target_ = target;
    made.event_ = event;
    at(i).report(made, now_);
    advance(i);
}

void cluster::read_hosts(std::size_t i, std::set<base::target_id> leaving)
{
    at(i).on_leaving_targets(std::move(leaving), now_);
    advance(i);
}

void cluster::resubmit(std::size_t i, base::request_id request)
{
    at(i).resubmit(items_.at(request), now_);
    advance(i);
}

void cluster::run_for(base::duration span)
{
    auto const end = now_ + span;
    while (step(end))
    {
    }
}

bool cluster::step(base::time_point end)
{
    auto next =
        flying_.empty() ? base::time_point::max() : flying_.begin()->first;
    for (std::size_t i = 0; i < size(); ++i)
    {
        if (runs(i))
        {
            next = std::min(next, at(i).next_wakeup());
        }
    }
    now_ = std::max(now_, std::min(next, end));
    if (next > end)
    {
        return false;
    }
    while (!flying_.empty() && flying_.begin()->first <= now_)
    {
        auto const arrived = flying_.extract(flying_.begin()).mapped();
        deliver(arrived);
    }
    for (std::size_t i = 0; i < size(); ++i)
    {
        if (runs(i) && at(i).next_wakeup() <= now_)
        {
            advance(i);
        }
    }
    return true;
}

std::size_t cluster::owner(std::size_t i) const
{
    auto const& map = nodes_[i].coordinator_->map();
    return node_of(map.owner(map.cells().begin()->first).daemon_);
}

std::vector<recorded_decision> cluster::take_new_decisions()
{
    std::vector<recorded_decision> fresh{
        decisions_.begin() + static_cast<std::ptrdiff_t>(taken_),
        decisions_.end()};
    taken_ = decisions_.size();
    return fresh;
}

void cluster::advance(std::size_t i)
{
    if (nodes_[i].frozen_)
    {
        return;
    }
    coordinator_output out;
    at(i).advance(now_, out);
    for (auto const& decided : out.decisions_)
    {
        decisions_.push_back({i, decided, now_});
    }
    for (auto const& [to, messages] : out.messages_)
    {
        for (auto const& payload : encode(messages, most_payload_bytes, now_))
        {
            send(i, node_of(to), payload);
        }
    }
}

void cluster::send(std::size_t from, std::size_t to, std::string const& payload)
{
    ++datagrams_;
    bytes_ += payload.size();
    auto const copies = random_.uniform() < faults_.doubled_ ? 2 : 1;
    for (int i = 0; i < copies; ++i)
    {
        auto const delay = base::duration{static_cast<base::duration::rep>(
            random_.uniform() *
            static_cast<double>(faults_.longest_delay_.count()))};
        if (random_.uniform() >= faults_.lost_ && !cuts_[{from, to}])
        {
            flying_.emplace(now_ + delay, datagram{life(from), to, payload});
        }
    }
}

void cluster::deliver(datagram const& arrived)
{
    if (nodes_[arrived.to_].frozen_)
    {
        // Its socket keeps the datagram until it runs again.
        nodes_[arrived.to_].unread_.push_back(arrived);
        return;
    }
    if (!runs(arrived.to_))
    {
        return;
    }
    auto const messages = decode(arrived.payload_, now_);
    for (auto const& one : messages.value())
    {
        at(arrived.to_).on_message(arrived.from_, one, now_);
    }
    advance(arrived.to_);
}

std::size_t cluster::node_of(base::daemon_id const& daemon) const
{
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        if (nodes_[i].life_.daemon_ == daemon)
        {
            return i;
        }
    }
    return 0;
}

} // namespace tanagerlead::cell
