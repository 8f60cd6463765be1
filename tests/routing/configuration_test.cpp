#include "src/routing/configuration.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::routing;

namespace
{

route make_route(std::string name, std::string host, std::string prefix,
                 int rank = 0)
{
    route r;
    r.name_ = std::move(name);
    r.host_ = std::move(host);
    r.prefix_ = std::move(prefix);
    r.pools_ = {{base::pool_id{"p"}, 1}};
    r.rank_ = rank;
    return r;
}

workspace make_workspace(std::string id, std::string key,
                         std::optional<int> rank)
{
    workspace w;
    w.id_ = base::workspace_id{std::move(id)};
    w.keys_ = {std::move(key)};
    w.rank_ = rank;
    return w;
}

configuration sample()
{
    return {base::config_version{7},
            {make_route("short", "a.example", "/x/", 2),
             make_route("long", "a.example", "/x/y/", 0),
             make_route("other", "b.example", "/", 1)},
            {make_workspace("large", "k1", 1), make_workspace("small", "k2", 0),
             make_workspace("plain", "k3", std::nullopt)},
            {}};
}

std::size_t tier(configuration const& c, char const* path, char const* key)
{
    return base::index(c.find("a.example", path, key).tier_);
}

} // namespace

TEST_GROUP(configuration){};

TEST(configuration, takes_the_longest_prefix_of_the_host)
{
    auto const c = sample();
    STRCMP_EQUAL("long",
                 c.find("a.example", "/x/y/z", "k1").route_->name_.c_str());
    STRCMP_EQUAL("short",
                 c.find("a.example", "/x/yz", "k1").route_->name_.c_str());
    STRCMP_EQUAL("other",
                 c.find("b.example", "/x/y/", "k1").route_->name_.c_str());
    CHECK(c.find("a.example", "/z/", "k1").status_ == lookup_status::no_route);
    CHECK(c.find("c.example", "/x/", "k1").status_ == lookup_status::no_route);
}

TEST(configuration, does_not_take_a_query_for_a_path)
{
    auto const c = sample();
    STRCMP_EQUAL(
        "short",
        c.find("a.example", "/x/?q=/x/y/", "k1").route_->name_.c_str());
    CHECK(c.find("a.example", "/x?/y/", "k1").status_ ==
          lookup_status::no_route);
}

TEST(configuration, needs_a_known_key_unless_the_route_is_open)
{
    auto const c = sample();
    CHECK(c.find("a.example", "/x/", "").status_ == lookup_status::no_key);
    CHECK(c.find("a.example", "/x/", "k9").status_ == lookup_status::no_key);
    auto open = make_route("open", "a.example", "/");
    open.allows_anonymous_ = true;
    configuration const o{
        base::config_version{1}, {open}, {make_workspace("w", "k", 0)}, {}};
    CHECK(o.find("a.example", "/", "").status_ == lookup_status::found);
    POINTERS_EQUAL(nullptr, o.find("a.example", "/", "").workspace_);
}

TEST(configuration, orders_by_workspace_rank_then_route_rank)
{
    auto const c = sample();
    CHECK(tier(c, "/x/y/", "k2") < tier(c, "/x/", "k2"));
    CHECK(tier(c, "/x/", "k2") < tier(c, "/x/y/", "k1"));
    CHECK(tier(c, "/x/y/", "k1") < tier(c, "/x/", "k1"));
}

TEST(configuration, tells_how_far_a_route_stands_behind_the_first)
{
    auto const c = sample();
    DOUBLES_EQUAL(0.0, c.find("a.example", "/x/y/", "k1").relative_rank_, 1e-9);
    DOUBLES_EQUAL(0.5, c.find("b.example", "/", "k1").relative_rank_, 1e-9);
    DOUBLES_EQUAL(1.0, c.find("a.example", "/x/", "k1").relative_rank_, 1e-9);
}
