#include "tests/membership/swim_network.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::membership;
using namespace std::chrono_literals;

namespace
{
constexpr std::uint64_t seed = 20261203;
// Probe interval, its time-out and the suspicion, then the spreading.
constexpr auto death_bound = 12s;
} // namespace

TEST_GROUP(swim)
{
    swim_network network_{seed};

    void grow(std::size_t nodes)
    {
        for (std::size_t i = 0; i < nodes; ++i)
        {
            network_.add("d" + std::to_string(i));
        }
        network_.run(10s);
        CHECK(network_.converged());
    }

    void check_all_see(std::size_t subject, member_state wanted)
    {
        for (std::size_t i = 0; i < network_.size(); ++i)
        {
            if (i != subject)
            {
                CHECK(network_.state(i, subject) == wanted);
            }
        }
    }
};

TEST(swim, members_find_each_other_through_one_seed)
{
    grow(8);
}

TEST(swim, a_stopped_member_is_declared_dead_everywhere)
{
    grow(8);
    network_.stop(3);
    network_.run(death_bound);
    check_all_see(3, member_state::dead);
}

TEST(swim, a_restarted_member_replaces_its_former_life)
{
    grow(5);
    network_.stop(3);
    network_.run(1s);
    network_.restart(3, 2);
    network_.run(5s);
    CHECK(network_.converged());
    for (auto const& known : network_.at(1).members().members_)
    {
        if (known.daemon_ == network_.at(3).self().daemon_)
        {
            CHECK(known.origin_ == network_.at(3).self().origin_);
        }
    }
}

TEST(swim, a_restart_with_a_clock_set_back_still_wins)
{
    grow(5);
    network_.stop(3);
    network_.run(death_bound);
    network_.restart(3, 0);
    network_.run(10s);
    CHECK(network_.converged());
}

TEST(swim, a_paused_member_refutes_its_death_and_suspects_nobody)
{
    grow(8);
    network_.stop(3);
    network_.run(60s);
    check_all_see(3, member_state::dead);
    network_.resume(3);
    network_.run(15s);
    CHECK(network_.converged());
}

TEST(swim, one_lost_path_does_not_kill)
{
    grow(8);
    network_.cut(2, 5);
    network_.cut(5, 2);
    for (int i = 0; i < 60; ++i)
    {
        network_.run(1s);
        CHECK(network_.state(2, 5) != member_state::dead);
        CHECK(network_.state(5, 2) != member_state::dead);
    }
}

TEST(swim, a_tenth_of_messages_lost_kills_nobody)
{
    grow(16);
    network_.set_loss(0.1);
    for (int i = 0; i < 120; ++i)
    {
        network_.run(1s);
        for (std::size_t a = 0; a < network_.size(); ++a)
        {
            for (std::size_t b = 0; b < network_.size(); ++b)
            {
                CHECK(network_.state(a, b) != member_state::dead);
            }
        }
    }
}

TEST(swim, a_healed_partition_grows_together)
{
    grow(8);
    for (std::size_t a = 0; a < 4; ++a)
    {
        for (std::size_t b = 4; b < 8; ++b)
        {
            network_.cut(a, b);
            network_.cut(b, a);
        }
    }
    network_.run(30s);
    CHECK(network_.state(0, 7) == member_state::dead);
    CHECK(network_.state(0, 3) == member_state::alive);
    network_.heal();
    network_.run(60s);
    CHECK(network_.converged());
}

TEST(swim, leaving_is_known_within_a_second)
{
    grow(8);
    network_.at(3).leave();
    network_.run(1s);
    check_all_see(3, member_state::leaving);
}

TEST(swim, a_new_configuration_version_reaches_all)
{
    grow(64);
    network_.at(0).set_config_version(base::config_version{7});
    // Each learner adopts what it hears of, as the daemon does.
    for (int i = 0; i < 40; ++i)
    {
        network_.run(100ms);
        for (std::size_t n = 0; n < network_.size(); ++n)
        {
            for (auto const& known : network_.at(n).members().members_)
            {
                network_.at(n).set_config_version(known.config_version_);
            }
        }
    }
    for (std::size_t n = 0; n < network_.size(); ++n)
    {
        CHECK(network_.at(n).self().config_version_ == base::config_version{7});
    }
}

TEST(swim, messages_fit_a_datagram)
{
    grow(64);
    CHECK(network_.largest_message() <= 1300);
}

TEST_GROUP(swim_message){};

TEST(swim_message, damaged_bytes_are_refused_or_read_without_harm)
{
    swim_network network{seed};
    network.add("a");
    network.add("b");
    network.run(3s);
    swim_message message;
    message.sender_ = network.at(0).self();
    message.updates_ = network.at(1).members().members_;
    auto const good = encode(message);
    CHECK(decode_swim_message(good).has_value());
    for (std::size_t cut = 0; cut < good.size(); ++cut)
    {
        CHECK_FALSE(decode_swim_message(good.substr(0, cut)).has_value());
    }
    CHECK_FALSE(decode_swim_message(good + "x").has_value());

    base::random_source random{seed};
    for (int round = 0; round < 20000; ++round)
    {
        auto damaged = good;
        auto const flips = 1 + random.below(4);
        for (std::uint64_t i = 0; i < flips; ++i)
        {
            auto& byte = damaged[random.below(damaged.size())];
            byte = static_cast<char>(random());
        }
        auto const decoded = decode_swim_message(damaged);
        CHECK(decoded.has_value() ||
              decoded.error().code_ == base::error_code::corrupt);
    }
}
