#include "src/cell/cell_map.hpp"

#include "tests/cell/cluster.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace tanagerlead;

namespace
{
membership::member_list some_members(int count)
{
    membership::member_list list;
    for (int i = 0; i < count; ++i)
    {
        membership::member m;
        m.daemon_ = base::daemon_id{"d" + std::to_string(i)};
        m.data_centre_ = base::data_centre_id{i % 2 == 0 ? "brest" : "dakar"};
        m.origin_ = static_cast<std::uint64_t>(i) + 1;
        list.members_.push_back(m);
    }
    return list;
}

base::pool_id const report{"report"};
base::data_centre_id const brest{"brest"};
} // namespace

TEST_GROUP(cell_map){};

TEST(cell_map, cells_hold_at_most_sixteen_targets)
{
    cell::cell_map const map{cell::small_configuration(100, 1),
                             some_members(8)};
    LONGS_EQUAL(7, map.cells().size());
    std::size_t targets = 0;
    for (auto const& [id, layout] : map.cells())
    {
        CHECK(layout.targets_.size() <= cell::most_targets_per_cell);
        targets += layout.targets_.size();
    }
    LONGS_EQUAL(100, targets);
}

TEST(cell_map, order_of_members_and_targets_does_not_matter)
{
    auto configuration = cell::small_configuration(40, 1);
    auto members = some_members(8);
    cell::cell_map const map{configuration, members};
    std::reverse(configuration.targets_.begin(), configuration.targets_.end());
    std::reverse(members.members_.begin(), members.members_.end());
    cell::cell_map const other{configuration, members};
    for (auto const& [id, layout] : map.cells())
    {
        CHECK(map.owner(id) == other.owner(id));
        CHECK(layout.targets_.at(0).id_ == other.find(id)->targets_.at(0).id_);
    }
}

TEST(cell_map, one_death_moves_only_its_own_cells)
{
    auto const configuration = cell::small_configuration(320, 1);
    auto members = some_members(16);
    cell::cell_map const before{configuration, members};
    auto const victim = before.owner(before.cells().begin()->first);
    for (auto& m : members.members_)
    {
        if (m.daemon_ == victim.daemon_)
        {
            m.state_ = membership::member_state::dead;
        }
    }
    cell::cell_map const after{configuration, members};
    for (auto const& [id, layout] : before.cells())
    {
        auto const stays = before.owner(id) == after.owner(id);
        CHECK(stays == (before.owner(id) != victim));
    }
}

TEST(cell_map, owner_is_near_its_targets_while_one_is)
{
    auto members = some_members(4);
    auto const configuration = cell::small_configuration(4, 1);
    auto owner_number = [&]
    {
        cell::cell_map const map{configuration, members};
        return map.owner(map.cells().begin()->first).origin_;
    };
    CHECK(owner_number() % 2 == 1);
    members.members_[0].state_ = membership::member_state::dead;
    members.members_[2].state_ = membership::member_state::leaving;
    CHECK(owner_number() % 2 == 0);
    members.members_[1].state_ = membership::member_state::dead;
    members.members_[3].state_ = membership::member_state::dead;
    LONGS_EQUAL(3, owner_number());
}

TEST(cell_map, suspect_keeps_its_cells)
{
    auto members = some_members(6);
    auto const configuration = cell::small_configuration(64, 1);
    cell::cell_map const before{configuration, members};
    for (auto& m : members.members_)
    {
        m.state_ = membership::member_state::suspect;
    }
    cell::cell_map const after{configuration, members};
    for (auto const& [id, layout] : before.cells())
    {
        CHECK(before.owner(id) == after.owner(id));
    }
}

TEST(cell_map, data_centres_of_a_group_share_cells)
{
    auto configuration = cell::small_configuration(12, 1);
    configuration.groups_ = {
        {"brittany", {brest, base::data_centre_id{"quimper"}}}};
    for (std::size_t i = 0; i < 6; ++i)
    {
        configuration.targets_[i].data_centre_ =
            base::data_centre_id{"quimper"};
    }
    cell::cell_map const map{configuration, some_members(2)};
    LONGS_EQUAL(1, map.serving(report, brest).size());
    // From elsewhere any cell that serves the pool will do.
    LONGS_EQUAL(1, map.serving(report, base::data_centre_id{"dakar"}).size());
    CHECK(map.serving(base::pool_id{"other"}, brest).empty());
}
