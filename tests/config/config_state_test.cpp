#include "src/config/config_state.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace std::chrono_literals;
using base::config_version;

namespace
{

constexpr std::uint64_t seed = 1;

config::config_peer peer(char const* name)
{
    return {base::daemon_id{name}, {"127.0.0.1", 1}};
}

std::vector<base::daemon_id> daemons(int count)
{
    std::vector<base::daemon_id> out;
    out.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
    {
        out.emplace_back("d" + std::to_string(i));
    }
    return out;
}

} // namespace

TEST_GROUP(config_state)
{
    base::time_point now_{};
    config::config_state state_{base::daemon_id{"d0"}, seed, now_};

    config::config_step next()
    {
        return state_.next(now_);
    }
};

TEST(config_state, versions_only_rise)
{
    CHECK(state_.on_fetched(config_version{3}, now_));
    CHECK_FALSE(state_.on_fetched(config_version{2}, now_));
    CHECK_FALSE(state_.on_fetched(config_version{3}, now_));
    CHECK(state_.on_fetched(config_version{4}, now_));
    CHECK(state_.in_force() == config_version{4});
}

TEST(config_state, an_accepted_version_needs_no_fetch)
{
    CHECK(state_.on_accepted(config_version{3}, now_));
    CHECK_FALSE(next().fetch_.has_value());
    CHECK_FALSE(state_.on_accepted(config_version{2}, now_));
    CHECK(state_.in_force() == config_version{3});
}

TEST(config_state, a_store_that_lost_versions_is_not_followed)
{
    state_.on_fetched(config_version{5}, now_);
    state_.on_watch(config_version{2}, now_);
    CHECK_FALSE(next().fetch_.has_value());
    CHECK(state_.in_force() == config_version{5});
}

TEST(config_state, a_few_of_a_data_centre_are_readers)
{
    auto const all = daemons(20);
    std::size_t readers = 0;
    for (auto const& daemon : all)
    {
        config::config_state state{daemon, seed, now_};
        state.on_members(all, now_);
        readers += state.is_reader() ? 1 : 0;
        CHECK_EQUAL(state.is_reader(), state.next(now_).hold_watch_);
    }
    CHECK_EQUAL(config::readers_per_data_centre, readers);
}

TEST(config_state, readers_fetch_from_the_store_and_others_from_peers)
{
    auto const all = daemons(20);
    for (auto const& daemon : all)
    {
        config::config_state state{daemon, seed, now_};
        state.on_members(all, now_);
        state.on_watch(config_version{1}, now_);
        state.on_peer_version(peer("p"), config_version{1}, now_);
        auto const step = state.next(now_);
        CHECK(step.fetch_.has_value());
        CHECK_EQUAL(!state.is_reader(), step.fetch_->peer_.has_value());
        CHECK_FALSE(state.next(now_).fetch_.has_value());
    }
}

TEST(config_state, a_failed_peer_is_followed_by_another_then_the_store)
{
    state_.on_peer_version(peer("p1"), config_version{2}, now_);
    state_.on_peer_version(peer("p2"), config_version{2}, now_);
    auto const first = next().fetch_->peer_->daemon_;
    state_.on_fetch_failed(now_);
    CHECK_FALSE(next().fetch_.has_value());
    now_ += config::longest_fetch_backoff * 2;
    CHECK(next().fetch_->peer_->daemon_ != first);
    state_.on_fetch_failed(now_);
    now_ += config::longest_fetch_backoff * 2;
    // Nobody is known to have it any more.
    CHECK_FALSE(next().fetch_.has_value());
    state_.on_watch(config_version{2}, now_);
    CHECK_FALSE(next().fetch_->peer_.has_value());
    state_.on_fetch_failed(now_);
    now_ += config::longest_fetch_backoff * 2;
    state_.on_peer_version(peer("p1"), config_version{2}, now_);
    CHECK(next().fetch_->peer_.has_value());
}

TEST(config_state, a_peer_that_has_less_than_told_is_not_asked_at_once)
{
    state_.on_peer_version(peer("p1"), config_version{9}, now_);
    CHECK(next().fetch_.has_value());
    CHECK(state_.on_fetched(config_version{4}, now_));
    state_.on_peer_version(peer("p1"), config_version{9}, now_);
    CHECK_FALSE(next().fetch_.has_value());
}

TEST(config_state, polls_go_on_and_do_not_overlap)
{
    CHECK(next().poll_store_);
    now_ += 1h;
    CHECK_FALSE(next().poll_store_);
    state_.on_poll(std::nullopt, now_);
    CHECK_FALSE(next().poll_store_);
    now_ += config::first_poll_interval * 2;
    CHECK(next().poll_store_);
    state_.on_fetched(config_version{1}, now_);
    state_.on_poll(config_version{1}, now_);
    now_ += config::first_poll_interval * 2;
    CHECK_FALSE(next().poll_store_);
    CHECK(next().wake_at_ <= now_ + config::reader_poll_interval * 2);
}

TEST(config_state, an_isolated_daemon_stops_taking_work)
{
    CHECK_FALSE(state_.may_take_work(now_));
    state_.on_fetched(config_version{1}, now_);
    CHECK(state_.may_take_work(now_));
    now_ += config::isolation_limit;
    CHECK(state_.may_take_work(now_));
    now_ += 1ns;
    CHECK_FALSE(state_.may_take_work(now_));
    state_.on_peer_version(peer("p1"), config_version{1}, now_);
    CHECK(state_.may_take_work(now_));
    now_ += config::isolation_limit + 1ns;
    state_.on_poll(std::nullopt, now_);
    CHECK_FALSE(state_.may_take_work(now_));
    state_.on_poll(config_version{1}, now_);
    CHECK(state_.may_take_work(now_));
}
