#include "src/cell/scheduling_service.hpp"

#include <algorithm>
#include <utility>

namespace tanagerlead::cell
{

namespace
{
/// Addresses given to a caller.
constexpr std::size_t most_entries = 8;
/// Shortest wait between two runs of the coordinator's timer.
constexpr base::duration shortest_timer = std::chrono::milliseconds{1};
constexpr base::duration retry_elsewhere = std::chrono::seconds{1};

bool takes_callers(membership::member const& m)
{
    return (m.state_ == membership::member_state::alive ||
            m.state_ == membership::member_state::suspect) &&
           !m.http_address_.empty();
}
} // namespace

struct scheduling_service::published
{
    membership::view members_ =
        std::make_shared<membership::member_list const>();
    cell_map map_;
    base::config_version version_{};
    daemon_life self_;
    base::data_centre_id data_centre_;
};

scheduling_service::scheduling_service(scheduling_settings settings,
                                       kernel::control_thread& control,
                                       config::source& config,
                                       membership::directory& members,
                                       peer::messenger& messenger)
    : settings_{std::move(settings)}, control_{control}, config_{config},
      members_{members}, messenger_{messenger},
      published_{std::make_shared<published>()}
{
}

scheduling_service::~scheduling_service() = default;

base::result<void> scheduling_service::start(kernel::kernel& /*services*/)
{
    auto const self = members_.self();
    coordinator_settings own;
    own.self_ = {self.daemon_, self.origin_};
    own.data_centre_ = self.data_centre_;
    own.make_scheduler_ = settings_.make_scheduler_;
    own.has_host_list_ = settings_.read_hosts_ != nullptr;
    coordinator_ = std::make_unique<coordinator>(std::move(own));
    control_.run([this] { connect(); });
    // A target that hangs must not keep the list from being read.
    list_observer_ = std::thread{[this]
                                 {
                                     watch_list();
                                 }};
    load_observer_ = std::thread{[this]
                                 {
                                     watch_loads();
                                 }};
    return base::success();
}

void scheduling_service::stop()
{
    {
        std::lock_guard const lock{observer_mutex_};
        observer_stopping_ = true;
    }
    observer_wake_.notify_all();
    list_observer_.join();
    load_observer_.join();
    control_.run([this] { refuse_waiting(); });
}

void scheduling_service::connect()
{
    on_config(config_.current());
    on_members(members_.current());
    config_.subscribe([this](config::snapshot const& snapshot)
                      { on_config(snapshot); });
    members_.subscribe([this](membership::view const& view)
                       { on_members(view); });
    messenger_.on_message(peer::message_kind::scheduling,
                          [this](base::daemon_id const& from,
                                 std::uint64_t origin,
                                 std::string const& payload) {
                              receive({from, origin}, payload);
                          });
}

void scheduling_service::leave()
{
    leaving_ = true;
    post([this] { coordinator_->leave(); });
}

void scheduling_service::post(std::function<void()> work)
{
    control_.post(
        [this, work = std::move(work)]
        {
            work();
            schedule_advance();
        });
}

void scheduling_service::submit(sched::work_item item, decided_function decided)
{
    post(
        [this, item = std::move(item), decided = std::move(decided)]() mutable
        {
            if (note_waiting(item.request_, std::move(decided)))
            {
                coordinator_->submit(item, control_.now());
            }
        });
}

void scheduling_service::resubmit(sched::work_item item,
                                  decided_function decided)
{
    post(
        [this, item = std::move(item), decided = std::move(decided)]() mutable
        {
            if (note_waiting(item.request_, std::move(decided)))
            {
                coordinator_->resubmit(item, control_.now());
            }
        });
}

void scheduling_service::withdraw(base::request_id request)
{
    post(
        [this, request]
        {
            waiting_.erase(request);
            coordinator_->withdraw(request, control_.now());
        });
}

void scheduling_service::report(sched::dispatch_report event)
{
    post([this, event = std::move(event)]
         { coordinator_->report(event, control_.now()); });
}

std::vector<request::entry_address>
scheduling_service::entries_for(base::workspace_id const& workspace,
                                std::vector<base::pool_id> const& pools) const
{
    std::shared_ptr<published const> seen;
    {
        std::lock_guard const lock{published_mutex_};
        seen = published_;
    }
    std::set<base::daemon_id> owners;
    for (auto const& pool : pools)
    {
        for (auto const& cell : seen->map_.serving(pool, seen->data_centre_))
        {
            owners.insert(seen->map_.owner(cell).daemon_);
        }
    }
    struct ranked_entry
    {
        bool owns_ = false;
        bool near_ = false;
        std::uint64_t weight_ = 0;
        request::entry_address address_;
    };
    std::vector<ranked_entry> ranked;
    for (auto const& m : seen->members_->members_)
    {
        auto const is_self = m.daemon_ == seen->self_.daemon_;
        if (takes_callers(m) && !(is_self && leaving_))
        {
            auto const weight =
                rendezvous_weight(workspace.str(), m.daemon_.str());
            ranked.push_back({owners.contains(m.daemon_),
                              m.data_centre_ == seen->data_centre_,
                              weight,
                              {m.daemon_, m.http_address_}});
        }
    }
    std::sort(ranked.begin(), ranked.end(),
              [](auto const& a, auto const& b)
              {
                  return std::tie(a.owns_, a.near_, a.weight_) >
                         std::tie(b.owns_, b.near_, b.weight_);
              });
    ranked.resize(std::min(ranked.size(), most_entries));
    std::vector<request::entry_address> entries;
    std::transform(ranked.begin(), ranked.end(), std::back_inserter(entries),
                   [](auto const& one) { return one.address_; });
    return entries;
}

base::address scheduling_service::address_of(std::uint64_t origin) const
{
    std::lock_guard const lock{published_mutex_};
    for (auto const& m : published_->members_->members_)
    {
        if (m.origin_ == origin && m.state_ != membership::member_state::dead)
        {
            return m.http_address_;
        }
    }
    return {};
}

bool scheduling_service::accepts_work() const
{
    std::lock_guard const lock{published_mutex_};
    return !leaving_ && !isolated_ &&
           published_->version_ != base::config_version{};
}

scheduling_status scheduling_service::status()
{
    scheduling_status now;
    now.accepts_work_ = accepts_work();
    now.isolated_ = isolated_;
    control_.run([&] { now.cells_ = coordinator_->status(); });
    return now;
}

std::optional<request_trace>
scheduling_service::explain(base::request_id request)
{
    std::optional<request_trace> found;
    control_.run(
        [&]
        {
            auto const* trace = coordinator_->explain(request);
            if (trace != nullptr)
            {
                found = *trace;
            }
        });
    return found;
}

bool scheduling_service::note_waiting(base::request_id request,
                                      decided_function decided)
{
    if (stopped_)
    {
        decided(
            request::refuse{sched::refusal_cause::draining, retry_elsewhere});
        return false;
    }
    waiting_[request] = std::move(decided);
    return true;
}

void scheduling_service::refuse_waiting()
{
    stopped_ = true;
    for (auto const& [request, decided] : std::exchange(waiting_, {}))
    {
        decided(
            request::refuse{sched::refusal_cause::draining, retry_elsewhere});
    }
}

void scheduling_service::receive(daemon_life const& from,
                                 std::string const& payload)
{
    auto const now = control_.now();
    auto messages = decode(payload, now);
    if (!messages || stopped_)
    {
        return;
    }
    for (auto const& one : messages.value())
    {
        coordinator_->on_message(from, one, now);
    }
    schedule_advance();
}

void scheduling_service::on_members(membership::view const& view)
{
    coordinator_->on_members(view, control_.now());
    publish();
    schedule_advance();
}

void scheduling_service::on_config(config::snapshot const& snapshot)
{
    coordinator_->on_config(snapshot, control_.now());
    publish();
    schedule_advance();
}

void scheduling_service::schedule_advance()
{
    if (!advance_posted_ && !stopped_)
    {
        advance_posted_ = true;
        control_.post([this] { advance(); });
    }
}

void scheduling_service::advance()
{
    advance_posted_ = false;
    if (stopped_)
    {
        return;
    }
    auto const now = control_.now();
    coordinator_output out;
    coordinator_->advance(now, out);
    for (auto const& [to, messages] : out.messages_)
    {
        constexpr auto most = peer::messenger::most_payload_bytes;
        for (auto& payload : encode(messages, most, now))
        {
            messenger_.send(to, peer::message_kind::scheduling,
                            std::move(payload));
        }
    }
    for (auto const& decided : out.decisions_)
    {
        deliver(decided);
    }
    isolated_ = coordinator_->is_isolated(now);
    watch_hosts(coordinator_->chooses_targets());
    arm_timer();
}

void scheduling_service::deliver(decided_request const& decided)
{
    auto const found = waiting_.find(decided.request_);
    if (found == waiting_.end())
    {
        return;
    }
    auto const tell = std::move(found->second);
    waiting_.erase(found);
    tell(decided.decision_);
}

void scheduling_service::arm_timer()
{
    auto const now = control_.now();
    auto const next = coordinator_->next_wakeup();
    if (next == base::time_point::max() ||
        (timer_at_ <= next && timer_at_ > now))
    {
        return;
    }
    auto const when = std::max(next, now + shortest_timer);
    timer_at_ = when;
    control_.post_at(when,
                     [this, when]
                     {
                         if (timer_at_ == when)
                         {
                             timer_at_ = base::time_point::max();
                         }
                         schedule_advance();
                     });
}

void scheduling_service::publish()
{
    auto fresh = std::make_shared<published>();
    auto const self = members_.self();
    fresh->members_ = members_.current();
    fresh->map_ = coordinator_->map();
    fresh->version_ = config_.current()->version_;
    fresh->self_ = {self.daemon_, self.origin_};
    fresh->data_centre_ = self.data_centre_;
    {
        std::lock_guard const lock{published_mutex_};
        published_ = std::move(fresh);
    }
    std::lock_guard const lock{observer_mutex_};
    observed_targets_ = coordinator_->owned_targets();
}

void scheduling_service::watch_hosts(bool watch)
{
    std::unique_lock lock{observer_mutex_};
    auto const begins = watch && !watches_hosts_;
    watches_hosts_ = watch;
    hosts_are_due_ = hosts_are_due_ || begins;
    lock.unlock();
    if (begins)
    {
        // Grants wait for the first reading.
        observer_wake_.notify_all();
    }
}

void scheduling_service::watch_list()
{
    auto next = base::time_point::min();
    std::unique_lock lock{observer_mutex_};
    while (!observer_stopping_)
    {
        auto const now = control_.now();
        auto const due = std::exchange(hosts_are_due_, false) ||
                         (watches_hosts_ && now >= next);
        if (due)
        {
            next = now + settings_.hosts_interval_;
            lock.unlock();
            observe_hosts();
            lock.lock();
        }
        observer_wake_.wait_for(
            lock, settings_.hosts_interval_,
            [this] { return observer_stopping_ || hosts_are_due_; });
    }
}

void scheduling_service::watch_loads()
{
    std::unique_lock lock{observer_mutex_};
    while (!observer_stopping_)
    {
        lock.unlock();
        observe_store();
        observe_loads();
        lock.lock();
        observer_wake_.wait_for(lock, settings_.load_interval_,
                                [this] { return observer_stopping_; });
    }
}

void scheduling_service::observe_store()
{
    if (settings_.store_reachable_)
    {
        post([this, reachable = settings_.store_reachable_()]
             { coordinator_->set_store_reachable(reachable, control_.now()); });
    }
}

void scheduling_service::observe_loads()
{
    if (!settings_.read_load_)
    {
        return;
    }
    std::vector<config::target_config> targets;
    {
        std::lock_guard const lock{observer_mutex_};
        targets = observed_targets_;
    }
    for (auto const& target : targets)
    {
        auto load = settings_.read_load_(target);
        if (load)
        {
            post([this, load = load.value()]
                 { coordinator_->observe(load, control_.now()); });
        }
    }
}

void scheduling_service::observe_hosts()
{
    if (!settings_.read_hosts_)
    {
        return;
    }
    auto hosts = settings_.read_hosts_();
    if (hosts)
    {
        post([this, hosts = std::move(hosts).value()] { apply_hosts(hosts); });
    }
}

void scheduling_service::apply_hosts(
    std::vector<external::listed_host> const& hosts)
{
    std::map<base::address, external::host_state> states;
    for (auto const& host : hosts)
    {
        states[host.address_] = host.state_;
    }
    std::set<base::target_id> leaving;
    for (auto const& target : config_.current()->targets_)
    {
        auto const found = states.find(target.address_);
        // A target that the lagging list lacks may be new.
        if (found != states.end() &&
            found->second == external::host_state::leaving)
        {
            leaving.insert(target.id_);
        }
    }
    coordinator_->on_leaving_targets(std::move(leaving), control_.now());
}

} // namespace tanagerlead::cell
