#include "tests/soak/soak_run.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <sstream>
#include <unistd.h>

namespace tanagerlead::soak
{

using namespace std::chrono_literals;
using fakes::relay_action;
using fakes::relay_direction;
using nlohmann::json;

namespace
{

constexpr base::duration check_interval = 20ms;
constexpr base::duration version_interval = 200ms;
/// Until all daemons are ready after the start of the run.
constexpr base::duration max_start_time = 10s;
/// Time after the last fault until callers must be served again.
constexpr base::duration recovery_time = 6s;
constexpr base::duration recovery_watch = 2s;
constexpr double min_served_fraction = 0.9;
/// Time until a new version is in force when there are no faults.
constexpr base::duration max_rollout_time = 3s;
/// Until the entries of targets that have ended lapse.
constexpr base::duration lapse_time = 3s;
/// After the end of a disturbance, this time passes until departures must count
/// in time.
constexpr base::duration stable_window = 3s;
/// Crashes under one part of prompts after which all daemons must know it, and
/// requests with it that may reach targets later than the window after that.
constexpr std::size_t crashes_to_know = 5;
constexpr int max_late_crashing_requests = 3;
/// Age of a process before it gets a signal.
constexpr base::duration min_age_for_signal = 200ms;
/// Allowed beyond the grace period, since the machine may be busy.
constexpr base::duration stop_margin = 1500ms;

/// Loopback addresses that no other run uses at the same time.
std::string ip_of(std::uint64_t seed, int number)
{
    constexpr int nets = 250;
    return "127." + std::to_string(1 + ::getpid() % nets) + "." +
           std::to_string(1 + seed % nets) + "." + std::to_string(number + 1);
}

json route(char const* name, char const* prefix, char const* kind)
{
    return {{"Name", name},      {"Host", "soak.example"},
            {"Prefix", prefix},  {"Kind", kind},
            {"Service", "pool"}, {"MaxAttempts", max_attempts},
            {"TimeoutMs", 3000}, {"TargetLatencyMs", 500},
            {"GapAimMs", 400},   {"ResumeStreams", true}};
}

std::unique_ptr<fakes::relay> relay_to(platform_target const& target)
{
    auto relay = std::make_unique<fakes::relay>(base::address{"127.0.0.1", 0},
                                                target.address());
    relay->start().value();
    return relay;
}

void restore(fakes::relay& faulty)
{
    faulty.apply({relay_action::restore, {}, true, {}});
}

} // namespace

soak_run::fault_row const soak_run::faults_[] = {
    {"kill a daemon", &soak_run::kill_daemon},
    {"freeze a daemon", &soak_run::freeze_daemon},
    {"stop a daemon", &soak_run::stop_daemon},
    {"reload a daemon", &soak_run::reload_daemon},
    {"cut a daemon's store", &soak_run::cut_store},
    {"silence a daemon's store", &soak_run::silence_store},
    {"delay a daemon's store", &soak_run::delay_store},
    {"store refuses", &soak_run::refuse_at_store},
    {"store forgets", &soak_run::forget_at_store},
    {"crash a target", &soak_run::crash_target},
    {"cut a target", &soak_run::cut_target},
    {"silence a target", &soak_run::silence_target},
    {"delay a target", &soak_run::delay_target},
    {"drain a target", &soak_run::drain_target},
    {"a target departs", &soak_run::depart_target},
    {"a target names a limit", &soak_run::limit_target},
    {"silence open connections to the store",
     &soak_run::silence_store_connections},
    {"change the configuration", &soak_run::change_configuration},
    {"restore the store", &soak_run::restore_store},
    {"target announces its shutdown", &soak_run::announce_leaving},
    {"target asks for a pause", &soak_run::pause_target},
    {"a part of prompts crashes targets", &soak_run::begin_crashing_part},
    {"targets become brittle", &soak_run::make_targets_brittle},
};

soak_run::soak_run(soak_settings settings)
    : settings_{std::move(settings)}, random_{settings_.seed_},
      fault_timer_{loop_,
                   [this]
                   {
                       next_fault();
                   }},
      check_timer_{loop_,
                   [this]
                   {
                       check_daemons();
                   }},
      version_timer_{loop_, [this]
                     {
                         poll_versions();
                     }}
{
}

soak_run::~soak_run() = default;

std::vector<std::string> const& soak_run::play()
{
    start();
    if (settings_.max_rejections_ > 0)
    {
        set_brittle(settings_.max_rejections_);
    }
    run_for(settings_.length_);
    lift_faults();
    check_recovery();
    check_versions();
    for (auto& caller : callers_)
    {
        caller.stop();
    }
    run_until(
        [this]
        {
            return std::all_of(callers_.begin(), callers_.end(),
                               [](auto const& c) { return c.is_idle(); });
        },
        10s);
    auto const seconds = base::seconds(net::now() - began_);
    stop_all();
    ledger_.close(seconds);
    return ledger_.broken();
}

void soak_run::start()
{
    store_.start().value();
    for (int i = 0; i < settings_.targets_; ++i)
    {
        auto target = std::make_unique<platform_target>(loop_, ledger_, i);
        target->start().value();
        auto relay = relay_to(*target);
        target->on_unwanted_ =
            [this, stand_in = target.get()](base::time_point since)
        {
            on_unwanted_request(*stand_in, since);
        };
        target->on_departed_request_ = [this, stand_in = target.get()]
        {
            on_departed_request(*stand_in);
        };
        target->on_too_many_ =
            [this, stand_in = target.get()](base::time_point since)
        {
            on_too_many_requests(*stand_in, since);
        };
        auto& place = targets_.emplace_back(
            target_place{std::move(target), std::move(relay), true});
        place.target_->on_fall_ = [this, &place]
        {
            on_fall(place);
        };
        place.target_->does_crash_ = [this, &place](std::string const& parts)
        {
            return on_prompt(place, parts);
        };
        write_target(place, "ready");
    }
    write_configuration();
    for (int i = 0; i < settings_.daemons_; ++i)
    {
        daemons_.emplace_back(i, ip_of(settings_.seed_, i), store_.address());
        start_daemon(daemons_.back());
    }
    check_timer_.set_after(check_interval);
    version_timer_.set_after(version_interval);
    auto const all_ready = [this]
    {
        return std::all_of(daemons_.begin(), daemons_.end(),
                           [](auto const& d) { return d.version_ > 0; });
    };
    if (!run_until(all_ready, max_start_time))
    {
        ledger_.fail("the daemons did not start");
    }
    began_ = net::now();
    for (int i = 0; i < settings_.callers_; ++i)
    {
        callers_.emplace_back(loop_, *this, ledger_, i, random_());
        callers_.back().start();
    }
    fault_timer_.set_after(settings_.fault_interval_);
}

void soak_run::start_daemon(daemon_process& d)
{
    d.start(settings_.program_, settings_.folder_,
            {ip_of(settings_.seed_, 0), ip_of(settings_.seed_, 1)});
}

void soak_run::write_configuration()
{
    version_ += 1 + random_.below(3);
    json document{{"Version", version_},
                  {"Routes",
                   {route("plain", "/plain/", "idempotent"),
                    route("post", "/post/", "non_idempotent"),
                    route("stream", "/stream/", "stream")}},
                  {"Services", {{{"Name", "pool"}}}},
                  {"Tenants",
                   {{{"Name", "a"}, {"ApiKeys", {"key-a"}}},
                    {{"Name", "b"},
                     {"ApiKeys", {"key-b"}},
                     {"RatePerS", quota_rate},
                     {"Burst", quota_burst}}}}};
    document_ = document.dump();
    store_.put("op/config", document_);
}

void soak_run::write_target(target_place& place, char const* state)
{
    place.state_ = state;
    json const entry{{"Service", "pool"},
                     {"Address", place.relay_->address().str()},
                     {"Zone", "z0"},
                     {"Version", place.target_->version()},
                     {"Slots", target_slots},
                     {"State", state},
                     {"Seq", 1}};
    store_.put("servers/" + place.target_->id(), entry.dump());
}

void soak_run::run_for(base::duration length)
{
    run_until([] { return false; }, length);
}

bool soak_run::run_until(std::function<bool()> const& reached,
                         base::duration most)
{
    auto const until = net::now() + most;
    while (!reached() && net::now() < until)
    {
        loop_.run_one_for(10ms);
    }
    return reached();
}

void soak_run::after(base::duration delay, std::function<void()> act)
{
    auto const timer = std::make_shared<net::asio::steady_timer>(loop_, delay);
    timer->async_wait([timer, act = std::move(act)](net::error_code const&)
                      { act(); });
}

base::duration soak_run::between(base::duration least, base::duration most)
{
    return base::from_seconds(base::seconds(least) +
                              random_.uniform() * base::seconds(most - least));
}

daemon_process& soak_run::any_daemon()
{
    return daemons_[random_.below(daemons_.size())];
}

soak_run::target_place& soak_run::any_target()
{
    return targets_[random_.below(targets_.size())];
}

std::string soak_run::name_of(daemon_process const& d)
{
    return "d" + std::to_string(d.number());
}

void soak_run::note(std::string const& what)
{
    story_.push_back(std::to_string(base::milliseconds(net::now() - began_)) +
                     " ms " + what);
}

void soak_run::next_fault()
{
    if (faults_lifted_)
    {
        return;
    }
    auto const& row = faults_[random_.below(std::size(faults_))];
    auto const whom = (this->*row.act_)();
    note(row.name_ + std::string{whom.empty() ? ": nothing to do" : ": "} +
         whom);
    fault_timer_.set_after(between({}, 2 * settings_.fault_interval_));
}

std::string soak_run::kill_daemon()
{
    auto& d = any_daemon();
    if (d.is_up())
    {
        d.was_killed_ = true;
        d.signal(SIGKILL);
    }
    return name_of(d);
}

std::string soak_run::freeze_daemon()
{
    auto& d = any_daemon();
    d.signal(SIGSTOP);
    after(between(200ms, 3s), [&d] { d.signal(SIGCONT); });
    return name_of(d);
}

std::string soak_run::stop_daemon()
{
    auto& d = any_daemon();
    if (d.is_up() && !d.stopped_at_)
    {
        d.stopped_at_ = net::now();
    }
    d.signal(SIGTERM);
    return name_of(d);
}

std::string soak_run::reload_daemon()
{
    auto& d = any_daemon();
    // A process cannot handle a signal before its program runs.
    if (net::now() - d.calm_since() < min_age_for_signal)
    {
        return {};
    }
    d.signal(SIGHUP);
    return name_of(d);
}

std::string soak_run::cut_store()
{
    auto& d = any_daemon();
    disturb_store_until(net::now());
    d.store_relay().apply({relay_action::cut, {}, false, {}});
    return name_of(d);
}

std::string soak_run::silence_store()
{
    auto& d = any_daemon();
    static constexpr std::array ways{
        relay_direction::both, relay_direction::forward, relay_direction::back};
    d.store_relay().apply(
        {relay_action::silence, ways.at(random_.below(ways.size())), true, {}});
    auto const length = between(500ms, 5s);
    disturb_store_until(net::now() + length);
    restore_after(length, d.store_relay());
    return name_of(d);
}

// New connections work, and the open ones look alive.
std::string soak_run::silence_store_connections()
{
    auto& d = any_daemon();
    disturb_store_until(net::now());
    d.store_relay().apply(
        {relay_action::silence, relay_direction::both, false, {}});
    return name_of(d);
}

std::string soak_run::delay_store()
{
    auto& d = any_daemon();
    d.store_relay().apply(
        {relay_action::delay, {}, true, between(50ms, 800ms)});
    auto const length = between(500ms, 3s);
    disturb_store_until(net::now() + length);
    restore_after(length, d.store_relay());
    return name_of(d);
}

std::string soak_run::refuse_at_store()
{
    store_.set_fault(store_fault::refuses);
    auto const length = between(200ms, 4s);
    disturb_store_until(net::now() + length);
    after(length, [this] { store_.set_fault(store_fault::none); });
    return "all";
}

std::string soak_run::forget_at_store()
{
    store_.set_fault(store_fault::forgets);
    auto const length = between(50ms, 500ms);
    disturb_store_until(net::now() + length);
    after(length, [this] { store_.set_fault(store_fault::none); });
    return "all";
}

std::string soak_run::crash_target()
{
    auto& place = any_target();
    if (!place.up_)
    {
        return {};
    }
    auto id = place.target_->id();
    replace_target(place);
    return id;
}

std::string soak_run::begin_crashing_part()
{
    auto const now = net::now();
    if (now < crashing_part_.until_)
    {
        return {};
    }
    constexpr int first_id = 0xbad0;
    std::ostringstream id;
    id << std::hex << first_id + ++crashing_parts_;
    crashing_part_ = {id.str(), now + between(6s, 12s), {}, 0};
    return crashing_part_.id_;
}

std::string soak_run::crashing_part() const
{
    return !faults_lifted_ && net::now() < crashing_part_.until_
               ? crashing_part_.id_
               : std::string{};
}

bool soak_run::on_prompt(target_place& place, std::string const& parts)
{
    if (crashing_part_.id_.empty() ||
        parts.find("," + crashing_part_.id_ + ":") == std::string::npos)
    {
        return false;
    }
    auto const now = net::now();
    auto& crashes = crashing_part_.crashes_;
    auto const is_known = crashes.size() >= crashes_to_know &&
                          now - crashes[crashes_to_know - 1] > stable_window &&
                          have_run_since(now - stable_window);
    if (is_known &&
        ++crashing_part_.late_requests_ == max_late_crashing_requests + 1)
    {
        ledger_.fail(
            "targets got " + std::to_string(crashing_part_.late_requests_) +
            " requests with the part " + crashing_part_.id_ +
            " although it had crashed " + std::to_string(crashes.size()));
    }
    if (place.up_)
    {
        crashes.push_back(now);
        note("part " + crashing_part_.id_ + " crashes " + place.target_->id());
        place.up_ = false;
        // The target is in the middle of the request.
        net::asio::post(loop_, [this, &place] { replace_target(place); });
    }
    return true;
}

void soak_run::replace_target(target_place& place)
{
    place.up_ = false;
    auto const old = "servers/" + place.target_->id();
    place.relay_->stop();
    place.target_->crash();
    after(between(300ms, 2s), [this, old] { store_.remove(old); });
    after(between(300ms, 2500ms),
          [this, &place]
          {
              place.target_->restart();
              stopped_relays_.push_back(std::move(place.relay_));
              place.relay_ = relay_to(*place.target_);
              place.up_ = true;
              write_target(place, "ready");
          });
}

std::string soak_run::cut_target()
{
    auto& place = any_target();
    place.relay_->apply({relay_action::cut, {}, false, {}});
    return place.target_->id();
}

std::string soak_run::silence_target()
{
    auto& place = any_target();
    auto const all = random_.below(2) == 0;
    place.relay_->apply(
        {relay_action::silence,
         random_.below(2) == 0 ? relay_direction::both : relay_direction::back,
         all,
         {}});
    restore_after(between(300ms, 3s), *place.relay_);
    return place.target_->id();
}

std::string soak_run::delay_target()
{
    auto& place = any_target();
    place.relay_->apply({relay_action::delay, {}, true, between(20ms, 400ms)});
    restore_after(between(300ms, 3s), *place.relay_);
    return place.target_->id();
}

std::string soak_run::drain_target()
{
    auto& place = any_target();
    if (!place.up_ || place.target_->has_departed())
    {
        return {};
    }
    write_target(place, "draining");
    after(between(300ms, 2s),
          [this, &place, id = place.target_->id()]
          {
              if (place.up_ && place.target_->id() == id &&
                  !place.target_->has_departed())
              {
                  write_target(place, "ready");
              }
          });
    return place.target_->id();
}

// It goes on serving for longer than a departure takes to count.
std::string soak_run::depart_target()
{
    auto& place = any_target();
    if (!place.up_ || place.target_->has_departed())
    {
        return {};
    }
    auto id = place.target_->id();
    if (random_.below(2) == 0)
    {
        write_target(place, "draining");
    }
    else
    {
        place.state_ = nullptr;
        store_.remove("servers/" + id);
    }
    place.target_->depart();
    after(between(3s, 6s),
          [this, &place, id]
          {
              if (place.up_ && place.target_->id() == id)
              {
                  replace_target(place);
              }
          });
    return id;
}

std::string soak_run::limit_target()
{
    auto& place = any_target();
    if (!place.up_ || place.target_->has_limit())
    {
        return {};
    }
    auto id = place.target_->id();
    place.target_->set_limit(static_cast<double>(1 + random_.below(10)));
    after(between(8s, 14s),
          [&place, id]
          {
              if (place.up_ && place.target_->id() == id)
              {
                  place.target_->set_limit(0);
              }
          });
    return id;
}

std::string soak_run::change_configuration()
{
    write_configuration();
    return std::to_string(version_);
}

// The operator and the targets write again what was lost. Entries of targets
// that have left since the copy was made lapse.
std::string soak_run::restore_store()
{
    store_.restore_copy(between(500ms, 3s), random_.below(2) == 0);
    // Entries of targets that have left since the copy was made lapse last.
    disturb_store_until(net::now() + lapse_time);
    after(between(50ms, 1s), [this] { store_.put("op/config", document_); });
    for (auto& place : targets_)
    {
        after(between(50ms, 1200ms),
              [this, &place]
              {
                  if (place.up_ && place.state_ != nullptr)
                  {
                      write_target(place, place.state_);
                  }
              });
    }
    after(lapse_time, [this] { remove_lapsed_targets(); });
    return "all";
}

void soak_run::remove_lapsed_targets()
{
    for (auto const& key : store_.keys("servers/"))
    {
        auto const is_live = std::any_of(
            targets_.begin(), targets_.end(),
            [&](target_place const& place)
            { return place.up_ && key == "servers/" + place.target_->id(); });
        if (!is_live)
        {
            store_.remove(key);
        }
    }
}

// The registry entry stays as it is until the target leaves.
std::string soak_run::announce_leaving()
{
    auto& place = any_target();
    if (!place.up_)
    {
        return {};
    }
    place.target_->announce_leaving();
    after(between(2500ms, 4s),
          [this, &place, id = place.target_->id()]
          {
              if (place.up_ && place.target_->id() == id)
              {
                  replace_target(place);
              }
          });
    return place.target_->id();
}

std::string soak_run::pause_target()
{
    auto& place = any_target();
    place.target_->turn_away(between(800ms, 3s));
    return place.target_->id();
}

std::string soak_run::make_targets_brittle()
{
    if (are_brittle_)
    {
        return {};
    }
    constexpr int most = 6;
    auto const rejections = 2 + static_cast<int>(random_.below(most - 1));
    falls_ = 0;
    set_brittle(rejections);
    after(between(8s, 14s), [this] { set_brittle(0); });
    return std::to_string(rejections) + " rejections a second";
}

void soak_run::set_brittle(int max_rejections)
{
    are_brittle_ = max_rejections > 0;
    for (auto& place : targets_)
    {
        place.target_->set_brittle(max_rejections);
    }
}

void soak_run::on_fall(target_place& place)
{
    constexpr int slack = 2;
    constexpr int targets_a_fall = 10;
    if (!place.up_)
    {
        return;
    }
    auto const counts = have_run_since(net::now() - stable_window);
    falls_ += counts ? 1 : 0;
    note(place.target_->id() + " falls over" +
         (counts ? "" : ", while daemons are disturbed"));
    if (counts && falls_ > slack + settings_.targets_ / targets_a_fall)
    {
        ledger_.fail("brittle targets fell over " + std::to_string(falls_) +
                     " times");
    }
    place.up_ = false;
    // The target is in the middle of the request.
    net::asio::post(loop_, [this, &place] { replace_target(place); });
}

void soak_run::on_unwanted_request(platform_target const& target,
                                   base::time_point since)
{
    // A daemon that was frozen or has started since may not know.
    if (have_run_since(since))
    {
        ledger_.fail("target " + target.id() +
                     " got a request that it did not want");
    }
}

bool soak_run::have_run_since(base::time_point since) const
{
    return std::all_of(daemons_.begin(), daemons_.end(),
                       [since](daemon_process const& d) {
                           return d.is_up() && !d.is_frozen() &&
                                  d.calm_since() < since;
                       });
}

void soak_run::on_too_many_requests(platform_target const& target,
                                    base::time_point since)
{
    if (have_run_since(since))
    {
        ledger_.fail("target " + target.id() +
                     " got more requests than its limit allows");
    }
}

void soak_run::on_departed_request(platform_target const& target)
{
    auto const stable_since = net::now() - stable_window;
    if (have_run_since(stable_since) && store_disturbed_until_ < stable_since)
    {
        ledger_.fail("target " + target.id() +
                     " got a request after its departure");
    }
}

void soak_run::restore_after(base::duration delay, fakes::relay& faulty)
{
    after(delay, [&faulty] { restore(faulty); });
}

void soak_run::lift_faults()
{
    faults_lifted_ = true;
    for (auto& d : daemons_)
    {
        d.signal(SIGCONT);
        restore(d.store_relay());
    }
    for (auto& place : targets_)
    {
        restore(*place.relay_);
        place.target_->set_limit(0);
    }
    set_brittle(0);
    store_.set_fault(store_fault::none);
    note("all faults are lifted");
}

void soak_run::check_daemons()
{
    for (auto& d : daemons_)
    {
        if (auto const status = d.take_end())
        {
            on_daemon_end(d, *status);
        }
    }
    check_timer_.set_after(check_interval);
}

void soak_run::on_daemon_end(daemon_process& d, int status)
{
    auto const name = name_of(d);
    note(name + " ended with " + std::to_string(status));
    // The signal may come before the program has begun to handle it.
    auto const unready = d.version_ == 0 && status == -SIGTERM;
    auto const planned = d.stopped_at_ && (status == 0 || unready);
    if (!d.was_killed_ && !planned)
    {
        ledger_.fail(name + " ended by itself with status " +
                     std::to_string(status));
    }
    // A frozen daemon cannot stop in time.
    auto const calm = d.stopped_at_ && d.calm_since() < *d.stopped_at_;
    if (!d.was_killed_ && calm &&
        net::now() - *d.stopped_at_ > grace + stop_margin)
    {
        ledger_.fail(name + " took longer than its grace period to stop");
    }
    if (!is_closing_)
    {
        after(between(100ms, 1s),
              [this, &d]
              {
                  if (!d.is_up())
                  {
                      start_daemon(d);
                  }
              });
    }
}

void soak_run::poll_versions()
{
    for (auto& d : daemons_)
    {
        if (!d.is_up() || d.is_frozen())
        {
            continue;
        }
        net::http_request request{"GET", "/metrics", {}, {}};
        request.headers_.add("Host", "metrics");
        auto const life = d.calm_since();
        client_.call(
            d.metrics(), "metrics", std::move(request), {500ms},
            [this, &d, life](base::result<net::http_response> const& answer)
            {
                constexpr std::string_view name = "configuration_version ";
                auto const at = answer ? answer.value().body_.find(name)
                                       : std::string::npos;
                if (at == std::string::npos || life != d.calm_since())
                {
                    return;
                }
                auto const reported = static_cast<std::uint64_t>(
                    std::stod(answer.value().body_.substr(at + name.size())));
                if (reported < d.version_)
                {
                    ledger_.fail(name_of(d) + " went back from version " +
                                 std::to_string(d.version_) + " to " +
                                 std::to_string(reported));
                }
                d.version_ = reported;
            });
    }
    version_timer_.set_after(version_interval);
}

void soak_run::check_recovery()
{
    run_for(recovery_time);
    auto const sent = ledger_.free_sent();
    auto const answered = ledger_.free_answered();
    run_for(recovery_watch);
    auto const more = static_cast<double>(ledger_.free_sent() - sent);
    auto const served = static_cast<double>(ledger_.free_answered() - answered);
    note("served " + std::to_string(served) + " of " + std::to_string(more) +
         " after the faults");
    if (more < 1 || served < min_served_fraction * more)
    {
        ledger_.fail("callers are not served again: " + std::to_string(served) +
                     " of " + std::to_string(more));
    }
}

void soak_run::check_versions()
{
    write_configuration();
    auto const in_force = [this]
    {
        return std::all_of(daemons_.begin(), daemons_.end(),
                           [this](auto& d) { return d.version_ == version_; });
    };
    if (!run_until(in_force, max_rollout_time))
    {
        ledger_.fail("version " + std::to_string(version_) +
                     " is not in force on every daemon");
    }
}

void soak_run::stop_all()
{
    is_closing_ = true;
    for (auto& d : daemons_)
    {
        d.stopped_at_ = net::now();
        d.signal(SIGTERM);
    }
    auto const down = [this]
    {
        return std::none_of(daemons_.begin(), daemons_.end(),
                            [](auto const& d) { return d.is_up(); });
    };
    if (!run_until(down, grace + stop_margin))
    {
        ledger_.fail("a daemon did not stop");
    }
}

std::vector<base::address> soak_run::directories() const
{
    std::vector<base::address> all;
    for (auto const& d : daemons_)
    {
        all.push_back(d.directory());
    }
    return all;
}

bool soak_run::ran_since(base::address const& callers,
                         base::time_point when) const
{
    return std::any_of(daemons_.begin(), daemons_.end(),
                       [&](daemon_process const& d)
                       {
                           return d.callers() == callers && d.is_up() &&
                                  !d.is_frozen() && d.calm_since() < when;
                       });
}

} // namespace tanagerlead::soak
