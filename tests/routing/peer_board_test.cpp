#include "src/routing/peer_board.hpp"
#include "tests/routing/fixtures.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::routing;
using namespace tanagerlead::routing::testing;

namespace
{

constexpr peer_ip one{1};
constexpr peer_ip two{2};
id_digest const t1 = digest_of("t1");

peer_report report(std::uint64_t life, std::uint32_t number,
                   std::uint16_t in_flight)
{
    peer_report out;
    out.life_ = life;
    out.number_ = number;
    out.state_ = daemon_state::ready;
    out.in_flight_ = {{t1, in_flight}};
    return out;
}

} // namespace

TEST_GROUP(peer_board)
{
    peer_board board_;
};

TEST(peer_board, sums_the_last_report_of_each_daemon)
{
    board_.on_report(one, report(1, 1, 2), at(0s));
    board_.on_report(one, report(1, 2, 3), at(0s));
    board_.on_report(two, report(9, 1, 4), at(0s));
    LONGS_EQUAL(7, board_.in_flight_elsewhere(t1));
}

TEST(peer_board, passes_over_reports_that_come_late_or_twice)
{
    board_.on_report(one, report(1, 5, 2), at(0s));
    CHECK(!board_.on_report(one, report(1, 4, 9), at(0s)).is_new_);
    CHECK(!board_.on_report(one, report(1, 5, 9), at(0s)).is_new_);
    LONGS_EQUAL(2, board_.in_flight_elsewhere(t1));
}

TEST(peer_board, takes_a_new_life_whatever_its_numbers)
{
    board_.on_report(one, report(1, 500, 2), at(0s));
    auto const news = board_.on_report(one, report(2, 1, 1), at(0s));
    CHECK(news.is_new_);
    CHECK(news.is_new_life_);
    LONGS_EQUAL(1, board_.in_flight_elsewhere(t1));
}

TEST(peer_board, leaves_out_a_silent_daemon)
{
    board_.on_report(one, report(1, 1, 2), at(0s));
    board_.refresh(at(peer_board::silence));
    LONGS_EQUAL(0, board_.in_flight_elsewhere(t1));
    LONGS_EQUAL(0, board_.ready(std::nullopt, at(peer_board::silence)).size());
    DOUBLES_EQUAL(0.5, board_.heard_part(at(peer_board::silence)), 1e-9);
    board_.refresh(at(peer_board::memory + 1s));
    DOUBLES_EQUAL(1.0, board_.heard_part(at(peer_board::memory + 1s)), 1e-9);
}

TEST(peer_board, counts_a_seed_only_once_it_is_heard)
{
    board_.on_seed(one, at(0s));
    DOUBLES_EQUAL(1.0, board_.heard_part(at(0s)), 1e-9);
    board_.on_listed({two}, at(0s));
    DOUBLES_EQUAL(0.5, board_.heard_part(at(0s)), 1e-9);
}

TEST(peer_board, tells_what_was_spent_since_the_last_report_only)
{
    auto r = report(1, 1, 0);
    auto const w = digest_of("w");
    r.spent_ = {{w, 500}};
    CHECK(board_.on_report(one, r, at(0s)).spent_more_.empty());
    r.number_ = 2;
    r.spent_ = {};
    CHECK(board_.on_report(one, r, at(0s)).spent_more_.empty());
    r.number_ = 3;
    r.spent_ = {{w, 620}};
    LONGS_EQUAL(120, board_.on_report(one, r, at(0s)).spent_more_[0].units_);
    r.number_ = 4;
    r.spent_ = {{w, 600}};
    LONGS_EQUAL(-20, board_.on_report(one, r, at(0s)).spent_more_[0].units_);
}

TEST(peer_board, finds_the_daemon_with_the_newest_configuration)
{
    auto r = report(1, 1, 0);
    r.config_version_ = 4;
    board_.on_report(one, r, at(0s));
    r.life_ = 2;
    r.config_version_ = 6;
    board_.on_report(two, r, at(0s));
    CHECK(board_.newer_config(5, at(0s)) == two);
    CHECK(!board_.newer_config(6, at(0s)));
}

TEST(peer_board, survives_tiers_that_do_not_exist)
{
    auto r = report(1, 1, 0);
    r.waiting_ = {{digest_of("p"), 200, 5}, {digest_of("p"), 1, 3}};
    board_.on_report(one, r, at(0s));
    LONGS_EQUAL(3, board_.waiting_up_to(digest_of("p"), base::tier{7}));
    LONGS_EQUAL(0, board_.waiting_before(digest_of("p"), base::tier{1}));
}
