#include "src/entry/outage_monitor.hpp"
#include "tests/entry/fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::test;

namespace
{

/// Far beyond the pause before the first probe.
constexpr base::duration patience = std::chrono::seconds{10};

std::vector<answer_step> answer(std::string const& request)
{
    return {{answer_step::action::send, complete_answer(request, 200, "done")}};
}

/// A monitor of a daemon that is alone in its fleet.
class monitored_links
{
public:
    explicit monitored_links(bool is_enabled)
        : links_{loop_,
                 1,
                 peers_,
                 log_,
                 {[](base::pool_id const&) {},
                  [this](routing::target_info const& target, bool connected)
                  {
                      ++connects_;
                      monitor_.on_connect(target, connected);
                  }}},
          monitor_{loop_,
                   is_enabled,
                   dispatcher_,
                   links_,
                   log_,
                   {[this] { ++news_; },
                    [this]
                    {
                        ++returns_;
                        loop_.stop();
                    }}}
    {
        dispatcher_.set_fleet({self}, net::now());
    }

    void set_target(routing::target_info const& target)
    {
        dispatcher_.set_targets({target});
        links_.set_targets({target});
    }

    void report_failure(routing::target_info const& target)
    {
        routing::peer_report report;
        report.failed_targets_.push_back({routing::digest_of(target), 0});
        monitor_.on_report(routing::peer_ip{2}, report);
    }

    static constexpr routing::peer_ip self{1};
    net::asio::io_context loop_{1};
    routing::peer_table peers_;
    entry::rate_limited_log log_{"entry"};
    routing::dispatcher dispatcher_{{base::data_centre_id{"here"}, 1, self},
                                    peers_};
    int connects_ = 0;
    int news_ = 0;
    int returns_ = 0;
    entry::target_links links_;
    entry::outage_monitor monitor_;
};

} // namespace

TEST_GROUP(outage_monitor)
{
    scripted_target sound_{answer};
    routing::target_info const target_ =
        entry_fixture::entries_of({&sound_}).front();
};

TEST(outage_monitor, ends_a_wrong_verdict_with_a_probe)
{
    monitored_links daemon{true};
    daemon.set_target(target_);
    daemon.report_failure(target_);
    LONGS_EQUAL(1, daemon.dispatcher_.outages().out_count());
    daemon.loop_.run_for(patience);
    LONGS_EQUAL(0, daemon.dispatcher_.outages().out_count());
    LONGS_EQUAL(1, daemon.connects_);
    LONGS_EQUAL(1, daemon.news_);
    LONGS_EQUAL(1, daemon.returns_);
}

TEST(outage_monitor, does_nothing_unless_enabled)
{
    monitored_links daemon{false};
    daemon.set_target(target_);
    daemon.report_failure(target_);
    daemon.monitor_.on_connect(target_, false);
    CHECK(daemon.dispatcher_.outages().empty());
    LONGS_EQUAL(0, daemon.news_);
}
