#include "src/routing/configuration_check.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace tanagerlead;
using namespace tanagerlead::routing;
using namespace std::chrono_literals;

namespace
{

route sound_route(std::string name, std::string prefix)
{
    route r;
    r.name_ = std::move(name);
    r.host_ = "a.example";
    r.prefix_ = std::move(prefix);
    r.pools_ = {{base::pool_id{"llm"}, 1}};
    r.timeout_ = 3s;
    r.objective_ = 500ms;
    return r;
}

workspace sound_workspace()
{
    workspace w;
    w.id_ = base::workspace_id{"small"};
    w.keys_ = {"secret-1", "secret-2"};
    w.rate_ = 100;
    w.burst_ = 200;
    return w;
}

/// The parts of a configuration, which a row of the table changes.
struct parts
{
    std::uint64_t version_ = 7;
    std::vector<route> routes_{sound_route("one", "/x/"),
                               sound_route("two", "/x/y/")};
    std::vector<workspace> workspaces_{sound_workspace()};
    caller_limits limits_;
    std::vector<pool_limits> pools_{{base::pool_id{"llm"}, 1000}};

    configuration build() const
    {
        return {base::config_version{version_}, routes_, workspaces_, limits_,
                pools_};
    }
};

struct bad_entry
{
    void (*change_)(parts&);
    finding_kind kind_;
    char const* text_;
};

constexpr auto unreachable = finding_kind::unreachable;
constexpr auto contradiction = finding_kind::contradiction;

bad_entry const bad_entries[] = {
    {[](parts& p) { p.routes_[1].prefix_ = "/x/"; }, unreachable,
     "route \"two\" never matches: route \"one\" has its host \"a.example\" "
     "and prefix \"/x/\""},
    {[](parts& p) { p.routes_[0].host_ = ""; }, unreachable,
     "route \"one\" names no host and never matches"},
    {[](parts& p) { p.routes_[0].prefix_ = "x/"; }, unreachable,
     "route \"one\": prefix \"x/\" does not begin and end with a slash"},
    {[](parts& p) { p.routes_[0].resumable_ = true; }, unreachable,
     "route \"one\" is no stream, so that it may be resumed has no effect"},
    {[](parts& p) { p.routes_[0].pools_[0].pool_ = base::pool_id{"gone"}; },
     unreachable, "route \"one\" uses pool \"gone\", which does not exist"},
    {[](parts& p) {
         p.pools_.push_back({base::pool_id{"idle"}, 1});
     },
     unreachable, "pool \"idle\" is used by no route"},
    {[](parts& p) { p.workspaces_[0].keys_.clear(); }, unreachable,
     "workspace \"small\" has no key"},
    {[](parts& p) { p.workspaces_[0].keys_[1] = "secret-1"; }, unreachable,
     "workspace \"small\" has one of its keys twice"},
    {[](parts& p) { p.workspaces_[0].keys_[1] = ""; }, unreachable,
     "workspace \"small\" has an empty key"},
    {[](parts& p)
     {
         p.workspaces_.push_back(sound_workspace());
         p.workspaces_[1].id_ = base::workspace_id{"other"};
         p.workspaces_[1].keys_ = {"secret-2"};
     },
     contradiction,
     "workspace \"other\" shares a key with workspace \"small\""},
    {[](parts& p) { p.routes_[0].timeout_ = 0s; }, contradiction,
     "route \"one\": its time limit is not positive"},
    {[](parts& p) { p.routes_[0].objective_ = 4s; }, contradiction,
     "route \"one\": the latency objective of 4000 ms exceeds the time limit "
     "of "
     "3000 ms"},
    {[](parts& p) { p.routes_[0].gap_objective_ = 4s; }, contradiction,
     "route \"one\": the longest pause of 4000 ms exceeds the time limit of "
     "3000 "
     "ms"},
    {[](parts& p) { p.workspaces_[0].burst_ = 0; }, contradiction,
     "workspace \"small\": its burst of 0 is less than one request, which "
     "counts "
     "as 1"},
    {[](parts& p) { p.workspaces_[0].rate_ = 0; }, contradiction,
     "workspace \"small\" has no rate, so its burst of 200 limits nothing"},
    {[](parts& p) { p.limits_.header_timeout_ = 0s; }, contradiction,
     "the limits on headers and idle time admit no request"},
};

struct change
{
    void (*change_)(parts&);
    char const* text_;
};

change const changes[] = {
    {[](parts& p) { p.routes_.pop_back(); }, "route \"two\" is removed"},
    {[](parts& p) { p.routes_.push_back(sound_route("new", "/z/")); },
     "route \"new\" is added"},
    {[](parts& p) { p.routes_[0].timeout_ = 4s; },
     "route \"one\": time limit 3000 ms -> 4000 ms"},
    {[](parts& p) { p.routes_[0].pools_[0].weight_ = 9; },
     "route \"one\": pools llm 1 -> llm 9"},
    {[](parts& p) { p.routes_[0].kind_ = route_kind::stream; },
     "route \"one\": kind non-idempotent -> stream"},
    {[](parts& p) { p.workspaces_[0].burst_ = 300; },
     "workspace \"small\": burst 200 -> 300"},
    {[](parts& p) {
         p.workspaces_[0].keys_ = {"secret-1", "secret-3"};
     },
     "workspace \"small\": 1 keys added, 1 removed"},
    {[](parts& p) { p.pools_[0].kv_capacity_tokens_ = 2000; },
     "pool \"llm\": tokens in memory 1000 -> 2000"},
    {[](parts& p) { p.limits_.idle_timeout_ = 1s; },
     "limits of callers: idle time 15000 ms -> 1000 ms"},
};

} // namespace

TEST_GROUP(configuration_check){};

TEST(configuration_check, finds_nothing_in_a_sound_configuration)
{
    LONGS_EQUAL(0, check(parts{}.build()).size());
    auto next = parts{};
    next.version_ = 8;
    LONGS_EQUAL(0, compare(next.build(), parts{}.build()).size());
}

TEST(configuration_check, names_each_entry_that_is_bad)
{
    for (auto const& bad : bad_entries)
    {
        auto changed = parts{};
        bad.change_(changed);
        auto const found = check(changed.build());
        configuration_finding const wanted{bad.kind_, bad.text_};
        CHECK_TEXT(std::find(found.begin(), found.end(), wanted) != found.end(),
                   bad.text_);
        LONGS_EQUAL_TEXT(1, found.size(), bad.text_);
    }
}

TEST(configuration_check, names_each_difference)
{
    for (auto const& difference : changes)
    {
        auto next = parts{};
        next.version_ = 8;
        difference.change_(next);
        auto const found = compare(next.build(), parts{}.build());
        LONGS_EQUAL_TEXT(1, found.size(), difference.text_);
        CHECK(found[0].kind_ == finding_kind::difference);
        STRCMP_EQUAL(difference.text_, found[0].text_.c_str());
    }
}

TEST(configuration_check, tells_that_an_older_version_would_be_ignored)
{
    auto const found = compare(parts{}.build(), parts{}.build());
    LONGS_EQUAL(1, found.size());
    CHECK(found[0].kind_ == contradiction);
    STRCMP_EQUAL("version 7 is not above version 7, which is in force, and "
                 "would be ignored",
                 found[0].text_.c_str());
}

TEST(configuration_check, never_shows_a_key)
{
    auto changed = parts{};
    changed.workspaces_[0].keys_ = {"secret-3", "secret-3"};
    auto found = check(changed.build());
    auto const compared = compare(changed.build(), parts{}.build());
    found.insert(found.end(), compared.begin(), compared.end());
    CHECK(!found.empty());
    for (auto const& finding : found)
    {
        CHECK(finding.text_.find("secret") == std::string::npos);
    }
}
