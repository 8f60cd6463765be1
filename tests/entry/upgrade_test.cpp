#include "src/base/random.hpp"
#include "src/entry/report_codec.hpp"
#include "src/routing/peer_table.hpp"
#include "tests/entry/build_99d1b10.hpp"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace tanagerlead;
using namespace std::chrono_literals;
using routing::peer_ip;
using routing::peer_report;

namespace
{

/// How one build encodes reports.
struct build
{
    std::string (*write_)(peer_report report);
    std::optional<peer_report> (*read_)(std::string_view datagram);
};

constexpr build old_build{
    [](peer_report report)
    { return test::build_99d1b10::write_report(std::move(report)); },
    &test::build_99d1b10::read_report};
constexpr build new_build{[](peer_report report)
                          { return entry::write_report(report); },
                          &entry::read_report};

constexpr base::duration report_interval = 150ms;
constexpr base::duration max_delay = 20ms;
/// A report may be lost, and the next one as well.
constexpr base::duration settling_time = 4 * report_interval + max_delay;
constexpr double loss = 0.05;
constexpr double doubling = 0.05;
constexpr routing::id_digest shared_target{77};

/// Daemons in virtual time that are replaced one by one by daemons of another
/// build, while their reports are lost, late and doubled.
class upgraded_fleet
{
public:
    upgraded_fleet(std::size_t size, build const& from, std::uint64_t seed)
        : random_{seed}
    {
        for (std::size_t i = 0; i < size; ++i)
        {
            daemons_.push_back({&from, 1, 0, {}});
            schedule_report(i);
        }
    }

    void replace(std::size_t i, build const& by)
    {
        auto& d = daemons_.at(i);
        d = {&by, d.incarnation_ + 1, 0, {}};
    }

    void run(base::duration length)
    {
        auto const end = now_ + length;
        while (!events_.empty() && events_.begin()->first <= end)
        {
            auto event = events_.extract(events_.begin());
            now_ = event.key();
            event.mapped()();
        }
        now_ = end;
    }

    /// Daemons that do not hear all others, or know another number of requests
    /// at the target than the others have.
    int misled()
    {
        int count = 0;
        for (auto& d : daemons_)
        {
            d.peers_.refresh(now_);
            auto const others = std::ssize(daemons_) - 1;
            auto const is_right =
                std::ssize(d.peers_.heard(now_)) == others &&
                d.peers_.in_flight_elsewhere(shared_target) == others;
            count += is_right ? 0 : 1;
        }
        return count;
    }

private:
    struct daemon
    {
        build const* build_;
        std::uint64_t incarnation_;
        std::uint32_t reports_;
        routing::peer_table peers_;
    };

    void schedule_report(std::size_t from)
    {
        auto const wait = base::from_seconds(base::seconds(report_interval) *
                                             (0.5 + 0.5 * random_.uniform()));
        events_.emplace(now_ + wait,
                        [this, from]
                        {
                            send_report(from);
                            schedule_report(from);
                        });
    }

    void send_report(std::size_t from)
    {
        auto& d = daemons_.at(from);
        peer_report report;
        report.incarnation_ = d.incarnation_;
        report.sequence_number_ = ++d.reports_;
        report.state_ = routing::daemon_state::ready;
        report.in_flight_ = {{shared_target, 1}};
        auto const bytes = d.build_->write_(report);
        for (std::size_t to = 0; to < daemons_.size(); ++to)
        {
            if (to == from || random_.uniform() < loss)
            {
                continue;
            }
            deliver(from, to, bytes);
            if (random_.uniform() < doubling)
            {
                deliver(from, to, bytes);
            }
        }
    }

    void deliver(std::size_t from, std::size_t to, std::string const& bytes)
    {
        auto const delay =
            base::from_seconds(base::seconds(max_delay) * random_.uniform());
        events_.emplace(now_ + delay,
                        [this, from, to, bytes]
                        {
                            auto& d = daemons_.at(to);
                            if (auto const report = d.build_->read_(bytes))
                            {
                                d.peers_.on_report(
                                    peer_ip{static_cast<std::uint32_t>(from)},
                                    *report, now_);
                            }
                        });
    }

    base::random_source random_;
    base::time_point now_{};
    std::multimap<base::time_point, std::function<void()>> events_;
    std::vector<daemon> daemons_;
};

struct upgrade
{
    std::size_t daemons_;
    build const* from_;
    build const* to_;
};

constexpr upgrade upgrades[] = {
    {7, &old_build, &new_build},
    {7, &new_build, &old_build},
    {60, &old_build, &new_build},
};

} // namespace

TEST_GROUP(upgrade){};

TEST(upgrade, daemons_of_two_builds_hear_each_other)
{
    for (auto const& u : upgrades)
    {
        upgraded_fleet fleet{u.daemons_, *u.from_, 1};
        fleet.run(2 * settling_time);
        for (std::size_t i = 0; i < u.daemons_; ++i)
        {
            fleet.replace(i, *u.to_);
            fleet.run(settling_time);
            LONGS_EQUAL(0, fleet.misled());
        }
    }
}
