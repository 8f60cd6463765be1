#include "tests/routing/simulated_crashes.hpp"
#include "tests/routing/fixtures.hpp"

#include <algorithm>
#include <set>

namespace tanagerlead::routing::testing
{

namespace
{

constexpr base::duration step = 10ms;
constexpr double report_loss = 0.2;
constexpr base::duration mean_target_fault_interval = 2s;
constexpr base::duration mean_daemon_fault_interval = 3s;
/// A request that has been answered for so long has proved itself.
constexpr base::duration time_to_prove = 1s;
constexpr id_digest pool{1};
constexpr int max_attempts = 2;
/// Crashes after which a bad part must be known.
constexpr std::size_t crashes_to_know = 5;
/// Beginnings of prompts: some are in many requests, some in few.
constexpr std::size_t greetings = 60;
constexpr std::uint64_t first_greeting = 1000;
constexpr std::uint64_t first_bad = 2000;

} // namespace

simulated_crashes::simulated_crashes(settings s, std::uint64_t seed)
    : settings_{s}, random_{seed}, now_{at(0s)}, daemons_(s.daemons_),
      targets_(s.targets_), bad_parts_(s.bad_parts_), next_report_{now_},
      next_target_fault_{at(1s)}, next_daemon_fault_{at(2s)}
{
    for (auto& d : daemons_)
    {
        start(d);
    }
    for (auto& t : targets_)
    {
        t.id_ = id_digest{next_id_++};
    }
}

base::duration simulated_crashes::between(base::duration least,
                                          base::duration most)
{
    return base::from_seconds(base::seconds(least) +
                              random_.uniform() * base::seconds(most - least));
}

void simulated_crashes::start(daemon& d)
{
    auto const ip_of = [this](daemon const& each)
    {
        return peer_ip{
            static_cast<std::uint32_t>(500 + (&each - &daemons_[0]))};
    };
    d.parts_ = std::make_unique<part_quarantine>(ip_of(d));
    std::vector<peer_ip> fleet;
    for (auto const& each : daemons_)
    {
        fleet.push_back(ip_of(each));
    }
    d.parts_->set_fleet(std::move(fleet));
    d.schedule_ = {};
    ++d.life_;
}

void simulated_crashes::run(base::duration length)
{
    for (auto const end = now_ + length; now_ < end; now_ += step)
    {
        if (settings_.has_faults_)
        {
            fail_daemons();
        }
        if (settings_.has_other_crashes_)
        {
            fail_targets();
        }
        arrive();
        serve();
        if (now_ >= next_report_)
        {
            next_report_ = now_ + settings_.report_interval_;
            exchange_reports();
        }
        deliver();
    }
}

void simulated_crashes::arrive()
{
    for (auto expected = settings_.requests_per_second_ * base::seconds(step);
         expected > 0; expected -= 1)
    {
        if (random_.uniform() >= expected)
        {
            continue;
        }
        request r;
        r.id_ = next_id_++;
        // Squared, so that the first ones are frequent.
        auto const rank = random_.uniform() * random_.uniform();
        r.parts_ = {prompt_part{first_greeting +
                                static_cast<std::uint64_t>(rank * greetings)}};
        if (!bad_parts_.empty() && random_.uniform() < settings_.bad_fraction_)
        {
            r.bad_ = random_.below(bad_parts_.size());
            r.parts_.push_back(prompt_part{first_bad + *r.bad_});
        }
        r.daemon_ = random_.below(daemons_.size());
        r.life_ = daemons_[r.daemon_].life_;
        if (runs(daemons_[r.daemon_]))
        {
            sound_requests_ += r.bad_ ? 0 : 1;
            send(std::move(r));
        }
    }
}

void simulated_crashes::send(request r)
{
    auto& d = daemons_[r.daemon_];
    if (d.life_ != r.life_ || !runs(d) || ++r.attempts_ > max_attempts)
    {
        return;
    }
    auto const is_trial = d.parts_->is_blocked(pool, r.parts_, now_);
    if (is_trial && !d.parts_->may_try(pool, r.parts_, now_))
    {
        sound_refused_ += r.bad_ ? 0 : 1;
        return;
    }
    std::vector<target*> up;
    for (auto& t : targets_)
    {
        if (now_ >= t.down_until_)
        {
            up.push_back(&t);
        }
    }
    if (up.empty())
    {
        return;
    }
    if (is_trial)
    {
        d.parts_->on_trial(pool, r.parts_, now_);
    }
    if (r.bad_)
    {
        auto& bad = bad_parts_[*r.bad_];
        auto const is_bound =
            bad.crashed_at_.size() >= crashes_to_know &&
            now_ > bad.crashed_at_[crashes_to_know - 1] +
                       settings_.stable_window_ &&
            now_ > d.disturbed_until_ + settings_.stable_window_;
        bad.sent_after_bound_ += is_bound ? 1 : 0;
    }
    r.begins_at_ = now_ + between(30ms, 300ms);
    r.ends_at_ = r.begins_at_ + between(50ms, 3s);
    r.is_proved_ = false;
    up[random_.below(up.size())]->running_.push_back(std::move(r));
}

void simulated_crashes::serve()
{
    for (auto& t : targets_)
    {
        auto const crashes =
            std::any_of(t.running_.begin(), t.running_.end(),
                        [&](request const& r)
                        { return r.bad_ && now_ >= r.begins_at_ + 20ms; });
        if (crashes)
        {
            std::set<std::size_t> causes;
            for (auto const& r : t.running_)
            {
                if (r.bad_ && now_ >= r.begins_at_ + 20ms)
                {
                    causes.insert(*r.bad_);
                }
            }
            for (auto const cause : causes)
            {
                bad_parts_[cause].crashed_at_.push_back(now_);
            }
            crash(t);
            continue;
        }
        for (auto& r : t.running_)
        {
            auto const has_run_well =
                now_ >= std::min(r.ends_at_, r.begins_at_ + time_to_prove);
            auto& d = daemons_[r.daemon_];
            if (has_run_well && !r.is_proved_ && d.life_ == r.life_ && runs(d))
            {
                r.is_proved_ = true;
                d.parts_->on_proof(pool, r.parts_, now_);
            }
        }
        std::erase_if(t.running_,
                      [&](request const& r) { return now_ >= r.ends_at_; });
    }
}

void simulated_crashes::crash(target& t)
{
    auto const lost = std::move(t.running_);
    auto const id = t.id_;
    t.running_.clear();
    t.id_ = id_digest{next_id_++};
    t.down_until_ = now_ + between(2s, 5s);
    for (auto const& r : lost)
    {
        auto& d = daemons_[r.daemon_];
        auto const notices =
            d.life_ == r.life_ && runs(d) && random_.below(10) > 0;
        if (notices && !r.is_proved_)
        {
            d.parts_->on_crash(id, pool, r.id_, r.parts_, now_);
        }
    }
    for (auto const& r : lost)
    {
        send(r);
    }
}

void simulated_crashes::fail_targets()
{
    if (now_ < next_target_fault_)
    {
        return;
    }
    next_target_fault_ = now_ + between({}, 2 * mean_target_fault_interval);
    // One of four times many targets fail at once.
    auto const share = random_.below(4) == 0 ? 0.4 : 0.0;
    auto const first = random_.below(targets_.size());
    for (std::size_t i = 0; i < targets_.size(); ++i)
    {
        auto& t = targets_[i];
        if (now_ >= t.down_until_ && (i == first || random_.uniform() < share))
        {
            ++other_crashes_;
            crash(t);
        }
    }
}

void simulated_crashes::fail_daemons()
{
    if (now_ < next_daemon_fault_)
    {
        return;
    }
    next_daemon_fault_ = now_ + between({}, 2 * mean_daemon_fault_interval);
    auto const count = 1 + random_.below(1 + daemons_.size() / 5);
    for (std::size_t i = 0; i < count; ++i)
    {
        auto& d = daemons_[random_.below(daemons_.size())];
        if (!runs(d))
        {
            continue;
        }
        switch (random_.below(3))
        {
        case 0:
            d.dead_until_ = now_ + between(300ms, 5s);
            d.disturbed_until_ = std::max(d.disturbed_until_, d.dead_until_);
            start(d);
            break;
        case 1:
            d.frozen_until_ = now_ + between(300ms, 4s);
            d.disturbed_until_ = std::max(d.disturbed_until_, d.frozen_until_);
            break;
        default:
            d.cut_until_ = now_ + between(300ms, 4s);
            d.disturbed_until_ = std::max(d.disturbed_until_, d.cut_until_);
            break;
        }
    }
}

void simulated_crashes::exchange_reports()
{
    for (auto& d : daemons_)
    {
        if (!is_heard(d))
        {
            continue;
        }
        auto const content = std::make_shared<peer_report>();
        d.schedule_.add_to(*content, *d.parts_, {}, now_);
        if (content->part_crashes_.empty() && content->part_proofs_.empty())
        {
            continue;
        }
        for (std::size_t to = 0; to < daemons_.size(); ++to)
        {
            if (random_.uniform() < report_loss)
            {
                continue;
            }
            auto const delay = random_.below(20) == 0 ? between(500ms, 2s)
                                                      : between(1ms, 60ms);
            reports_.emplace(now_ + delay, report{to, content});
            if (random_.below(16) == 0)
            {
                reports_.emplace(now_ + between(1ms, 1s), report{to, content});
            }
        }
    }
}

void simulated_crashes::deliver()
{
    while (!reports_.empty() && reports_.begin()->first <= now_)
    {
        auto const& r = reports_.begin()->second;
        auto& to = daemons_[r.to_];
        if (is_heard(to))
        {
            for (auto const& proof : r.content_->part_proofs_)
            {
                to.parts_->on_reported(proof, now_);
            }
            for (auto const& c : r.content_->part_crashes_)
            {
                to.parts_->on_reported(c, now_);
            }
        }
        reports_.erase(reports_.begin());
    }
}

int simulated_crashes::max_sent_after_bound() const
{
    int out = 0;
    for (auto const& bad : bad_parts_)
    {
        out = std::max(out, bad.sent_after_bound_);
    }
    return out;
}

int simulated_crashes::bad_crashes() const
{
    std::size_t out = 0;
    for (auto const& bad : bad_parts_)
    {
        out += bad.crashed_at_.size();
    }
    return static_cast<int>(out);
}

std::size_t simulated_crashes::sound_parts_in_quarantine() const
{
    std::set<prompt_part> out;
    for (auto const& d : daemons_)
    {
        for (auto const part : d.parts_->quarantined(now_))
        {
            if (part < prompt_part{first_bad})
            {
                out.insert(part);
            }
        }
    }
    return out.size();
}

} // namespace tanagerlead::routing::testing
