#include "tests/rollout/fleet.hpp"

#include <algorithm>

namespace tanagerlead::rollout::testing
{

namespace
{

constexpr base::duration step = 50ms;
constexpr std::size_t turn_steps = 5;
constexpr base::duration rollback_limit = 5s;
constexpr base::duration old_request_time = 2s;
constexpr base::duration store_delay = 50ms;
constexpr double base_failures = 0.005;

order const the_order{1, base::software_version{"new"}, 0s};
std::set<base::software_version> const serving{base::software_version{"old"},
                                               base::software_version{"new"}};

struct message
{
    base::time_point due_;
    std::size_t to_ = 0;
    std::size_t from_ = 0;
    std::shared_ptr<report const> report_;
};

struct daemon
{
    std::unique_ptr<rollout> rollout_;
    std::uint64_t life_ = 1;
    base::time_point cut_until_{};
    base::time_point paused_until_{};
    base::time_point last_old_{};
    std::optional<rollout::proposal> write_;
    base::time_point next_report_{};
};

class fleet
{
public:
    explicit fleet(scenario const& s)
        : scenario_{s}, random_{s.seed_}, daemons_(s.daemons_)
    {
        // Each daemon hears the others at a rate that the fleet can bear.
        interval_ = s.daemons_ > 100 ? 2s : s.daemons_ > 20 ? 1s : 500ms;
        for (std::size_t i = 0; i < daemons_.size(); ++i)
        {
            auto const steps = static_cast<std::uint64_t>(interval_ / step);
            daemons_[i].next_report_ =
                at(step * static_cast<int>(random_.below(steps)));
            start(i, s.daemons_, at(0s));
        }
    }

    outcome run()
    {
        auto const end = at(scenario_.duration_);
        for (now_ = at(0s); now_ < end; now_ += step)
        {
            disturb();
            deliver();
            serve();
            // Each daemon has its turn four times a second.
            auto const turns = static_cast<std::size_t>((now_ - at(0s)) / step);
            for (std::size_t i = turns % turn_steps; i < daemons_.size();
                 i += turn_steps)
            {
                turn(i);
            }
        }
        out_.recorded_ = stored_.has_value();
        out_.phase_ = stored_ ? stored_->phase_ : phase::trial;
        return out_;
    }

private:
    void start(std::size_t i, std::size_t known, base::time_point now)
    {
        auto& d = daemons_[i];
        d.rollout_ = std::make_unique<rollout>(rollout::settings{}, name(i),
                                               base::incarnation{d.life_});
        auto o = the_order;
        o.duration_ = scenario_.duration_;
        d.rollout_->on_order(o, serving, known, now);
        d.write_.reset();
    }

    static base::daemon_id name(std::size_t i)
    {
        return base::daemon_id{"d" + std::to_string(1000 + i)};
    }

    /// True with the chance that one of `count` events falls into this step.
    bool happens(int count)
    {
        return random_.uniform() <
               count * base::seconds(step) / base::seconds(scenario_.duration_);
    }

    void disturb()
    {
        auto const& t = scenario_.trouble_;
        if (happens(t.kills_))
        {
            auto const i = random_.below(daemons_.size());
            ++daemons_[i].life_;
            start(i, 0, now_);
        }
        if (happens(t.cuts_))
        {
            daemons_[random_.below(daemons_.size())].cut_until_ = now_ + 10s;
        }
        if (happens(t.pauses_))
        {
            daemons_[random_.below(daemons_.size())].paused_until_ = now_ + 4s;
        }
    }

    bool runs(std::size_t i) const { return daemons_[i].paused_until_ <= now_; }
    bool reached(std::size_t i) const { return daemons_[i].cut_until_ <= now_; }

    void deliver()
    {
        std::vector<message> later;
        for (auto& m : messages_)
        {
            // What arrives during a pause waits.
            if (m.due_ > now_ || !runs(m.to_))
            {
                later.push_back(std::move(m));
            }
            else if (reached(m.to_))
            {
                daemons_[m.to_].rollout_->on_report(name(m.from_), *m.report_,
                                                    now_);
            }
        }
        messages_.swap(later);
    }

    void serve()
    {
        credit_ += scenario_.requests_per_second_ * base::seconds(step);
        for (; credit_ >= 1; credit_ -= 1)
        {
            auto const i = random_.below(daemons_.size());
            if (runs(i))
            {
                request(daemons_[i]);
            }
        }
    }

    void request(daemon& d)
    {
        route_digest const route = random_.below(5) == 0 ? 1 : 2;
        auto const version = d.rollout_->choose(now_);
        ++out_.requests_;
        bool failed = random_.uniform() < base_failures;
        auto latency = base::from_seconds(0.02 * static_cast<double>(route) *
                                          (0.7 + 0.6 * random_.uniform()));
        if (version == arm::before)
        {
            d.last_old_ = now_;
        }
        else
        {
            ++out_.exposed_;
            out_.late_sends_ +=
                fiftieth_bad_ && now_ > *fiftieth_bad_ + rollback_limit;
            out_.after_end_ += rolled_back_ && now_ > *rolled_back_ + 2s;
            if (faulty(route))
            {
                auto const x = random_.uniform();
                auto const& f = scenario_.fault_;
                bool const fails = x < f.failures_;
                bool const slow = !fails && x < f.failures_ + f.slow_;
                failed = failed || fails;
                latency = slow ? latency * 4 : latency;
                if ((fails || slow) && ++bad_answers_ == 50)
                {
                    fiftieth_bad_ = now_;
                }
            }
        }
        d.rollout_->on_answer(route, version, failed, latency);
    }

    bool faulty(route_digest route) const
    {
        auto const& f = scenario_.fault_;
        auto const passed = now_ - at(0s);
        bool const loaded = f.load_period_ == 0s ||
                            passed % f.load_period_ >= f.load_period_ / 2;
        return f.bad() && passed >= f.from_ && loaded &&
               (!f.one_route_ || route == 1);
    }

    void turn(std::size_t i)
    {
        auto& d = daemons_[i];
        if (!runs(i))
        {
            return;
        }
        // A write that was decided earlier goes out late after a pause.
        if (d.write_ && reached(i))
        {
            swap(d);
        }
        d.write_.reset();
        d.rollout_->on_running_before(now_ - d.last_old_ < old_request_time);
        auto const todo = d.rollout_->tick(now_);
        d.write_ = todo.write_;
        if (todo.read_ && reached(i))
        {
            d.rollout_->on_record(stored_, revision_, now_ - store_delay);
        }
        if (now_ >= d.next_report_ && reached(i))
        {
            d.next_report_ = now_ + interval_;
            send(i);
        }
    }

    void swap(daemon& d)
    {
        if (d.write_->valid_until_ >= now_ && d.write_->expected_ == revision_)
        {
            stored_ = d.write_->record_;
            ++revision_;
            if (stored_->phase_ == phase::rolled_back)
            {
                rolled_back_ = now_;
            }
        }
        d.rollout_->on_record(stored_, revision_, now_);
    }

    void send(std::size_t from)
    {
        auto const& t = scenario_.trouble_;
        auto const r = std::make_shared<report const>(
            daemons_[from].rollout_->own_report(now_));
        for (std::size_t to = 0; to < daemons_.size(); ++to)
        {
            if (to == from || random_.uniform() < t.lost_reports_)
            {
                continue;
            }
            int const copies = random_.uniform() < t.doubled_reports_ ? 2 : 1;
            for (int c = 0; c < copies; ++c)
            {
                auto const delay =
                    step + base::from_seconds(random_.uniform() *
                                              base::seconds(t.max_delay_));
                messages_.push_back({now_ + delay, to, from, r});
            }
        }
    }

    scenario scenario_;
    base::random_source random_;
    std::vector<daemon> daemons_;
    base::duration interval_{};
    base::time_point now_{};
    std::vector<message> messages_;
    std::optional<record> stored_;
    revision revision_ = 0;
    double credit_ = 0;
    std::uint64_t bad_answers_ = 0;
    std::optional<base::time_point> fiftieth_bad_;
    std::optional<base::time_point> rolled_back_;
    outcome out_;
};

} // namespace

outcome play(scenario const& s)
{
    return fleet{s}.run();
}

} // namespace tanagerlead::rollout::testing
