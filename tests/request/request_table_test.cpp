#include "src/request/issued_key.hpp"
#include "src/request/key_set.hpp"
#include "src/request/request_table.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::request;
using namespace std::chrono_literals;

namespace
{

bool never(request_record const& /*earlier*/)
{
    return false;
}

bool always(request_record const& /*earlier*/)
{
    return true;
}

base::workspace_id const brest{"brest"};
base::workspace_id const dakar{"dakar"};

} // namespace

TEST_GROUP(request_table)
{
    base::manual_clock clock_;
    request_table table_{{2, 100, 10s}, clock_};
    std::uint64_t next_ = 1;

    record_ptr make(base::workspace_id const& workspace, char const* key)
    {
        request_identity identity;
        identity.id_ = {1, next_++};
        identity.workspace_ = workspace;
        identity.key_ = key;
        return std::make_shared<request_record>(identity, clock_, 1000);
    }

    record_ptr add(char const* key = "")
    {
        return table_.add_or_join(make(brest, key), never);
    }

    bool knows(record_ptr const& record) const
    {
        return table_.find(record->identity().id_, brest) == record;
    }
};

TEST(request_table, repeat_of_a_key_joins)
{
    auto const first = add("k");
    CHECK(add("k") == first);
    CHECK_EQUAL(1, table_.size());
    auto const theirs = make(dakar, "k");
    CHECK(table_.add_or_join(theirs, never) == theirs);
    auto const later = make(brest, "k");
    CHECK(table_.add_or_join(later, always) == later);
    CHECK(knows(first));
}

TEST(request_table, record_is_hidden_from_other_workspaces)
{
    auto const record = add("k");
    CHECK(table_.find(record->identity().id_, dakar) == nullptr);
}

TEST(request_table, oldest_ended_is_forgotten_past_the_count)
{
    auto const running = add();
    auto const a = add("k");
    auto const b = add();
    auto const c = add();
    for (auto const& each : {a, b, c})
    {
        table_.remember(each);
    }
    CHECK(knows(running));
    CHECK_FALSE(knows(a));
    CHECK(knows(b));
    CHECK(add("k") != a);
}

TEST(request_table, ended_are_forgotten_past_bytes_and_time)
{
    auto const a = add();
    CHECK(a->answer().append(std::string(60, 'x')));
    auto const b = add();
    CHECK(b->answer().append(std::string(60, 'x')));
    table_.remember(a);
    table_.remember(b);
    CHECK_FALSE(knows(a));
    clock_.advance(11s);
    table_.remember(add());
    CHECK_FALSE(knows(b));
}

TEST(request_table, forgetting_leaves_a_later_holder_of_the_key)
{
    auto const first = add("k");
    auto const second = table_.add_or_join(make(brest, "k"), always);
    table_.remember(first);
    clock_.advance(11s);
    table_.remember(add());
    CHECK_FALSE(knows(first));
    CHECK(add("k") == second);
}

TEST_GROUP(key_set){};

TEST(key_set, once_full_it_takes_no_key_even_after_an_erasure)
{
    request::key_set keys{1};
    CHECK(keys.insert(brest, "a") == key_set::insertion::added);
    CHECK(keys.insert(brest, "a") == key_set::insertion::present);
    CHECK(keys.insert(dakar, "a") == key_set::insertion::full);
    CHECK(keys.erase(brest, "a"));
    CHECK(keys.insert(dakar, "a") == key_set::insertion::full);
    CHECK(keys.full());
}

TEST_GROUP(issued_key){};

TEST(issued_key, issuer_is_read_back)
{
    auto const prefix = issued_key_prefix(0xabc);
    STRCMP_EQUAL("0000000000000abc-", prefix.c_str());
    CHECK(issuer_of(prefix + "x") == std::uint64_t{0xabc});
    for (auto const* text : {"", "k", "0000000000000abc", "000000000000zabc-1",
                             "123e4567-e89b-12d3-a456-426614174000"})
    {
        CHECK_TEXT(!issuer_of(text), text);
    }
}
