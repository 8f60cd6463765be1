#include "platform/store_client.hpp"
#include "tests/entry/scripted_target.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::platform;
using tanagerlead::test::answer_step;
using tanagerlead::test::scripted_target;

namespace
{

using action = answer_step::action;

std::vector<answer_step> json_answer(int status, std::string const& body)
{
    return {{action::send, "HTTP/1.1 " + std::to_string(status) +
                               " X\r\nContent-Type: application/json\r\n"
                               "Content-Length: " +
                               std::to_string(body.size()) + "\r\n\r\n" +
                               body}};
}

struct fault_case
{
    char const* name_;
    int status_;
    char const* body_;
    base::error_code code_;
};

constexpr fault_case fault_cases[] = {
    {"no such key", 404, "{}", base::error_code::not_found},
    {"history gone", 410, "{}", base::error_code::not_found},
    {"condition not met", 412, "{}", base::error_code::conflict},
    {"too many calls", 429, "", base::error_code::rate_limited},
    {"busy", 503, "", base::error_code::unavailable},
    {"unknown status", 500, "", base::error_code::unknown_effect},
    {"not JSON", 200, "<html>", base::error_code::corrupt},
    {"an array", 200, "[]", base::error_code::corrupt},
};

} // namespace

TEST_GROUP(store_client)
{
    net::asio::io_context loop_;

    /// Makes one call to `store` and runs the loop until its answer.
    template <class T, class Call>
    base::result<T> run(scripted_target const& store, Call call)
    {
        store_client client{loop_, store.address()};
        std::optional<base::result<T>> answer;
        call(client, [&](base::result<T> got) { answer = std::move(got); });
        while (!answer)
        {
            loop_.run_one();
        }
        loop_.restart();
        return std::move(*answer);
    }

    base::result<entry::store_page> list(scripted_target const& store)
    {
        return run<entry::store_page>(
            store, [](store_client& c, auto done)
            { c.list("servers/", "servers/a b", true, std::move(done), {}); });
    }
};

TEST(store_client, lists_a_page)
{
    scripted_target store{
        [](std::string const&)
        {
            return json_answer(200,
                               R"({"Items":[{"Key":"servers/c","Value":"aGk=",
                       "Revision":4,"CreateRevision":2,"Lease":0},
                       {"Value":"aGk="},7,{"Key":"servers/d","Value":5}],
                       "HasMore":true,"CurrentRev":530})");
        }};
    auto const got = list(store);
    CHECK(got.has_value());
    LONGS_EQUAL(2, got.value().items_.size());
    STRCMP_EQUAL("hi", got.value().items_[0].value_.c_str());
    CHECK(got.value().has_more_);
    CHECK(got.value().revision_ == entry::store_revision{530});
    CHECK(store.requests()[0].starts_with(
        "GET /v1/kv-range?Prefix=servers/&After=servers/a%20b&AllowStale=1 "));
}

TEST(store_client, reports_changes_and_removals)
{
    scripted_target store{[](std::string const&)
                          {
                              return json_answer(200, R"({"events":[
              {"Key":"a","Value":"aGk=","Revision":412},
              {"Key":"b","Revision":413,"Deleted":true}],"CurrentRev":413})");
                          }};
    auto const got = run<entry::store_changes>(
        store,
        [](store_client& c, auto done)
        {
            c.watch("x", entry::store_revision{411},
                    std::chrono::milliseconds{1500}, std::move(done), {});
        });
    LONGS_EQUAL(2, got.value().items_.size());
    CHECK(got.value().items_[1].removed_);
    CHECK(store.requests()[0].starts_with(
        "GET /v1/kv-watch?Prefix=x&After=411&WaitMs=1500 "));
}

TEST(store_client, writes_under_a_lease)
{
    scripted_target store{[](std::string const&)
                          {
                              return json_answer(200, R"({"Revision":9})");
                          }};
    auto const got = run<void>(
        store, [](store_client& c, auto done)
        { c.put("k", "hi", entry::store_lease{7}, std::move(done)); });
    CHECK(got.has_value());
    auto const seen = store.requests()[0];
    CHECK(seen.starts_with("POST /v1/kv-txn "));
    CHECK(seen.find(R"("Value":"aGk=")") != std::string::npos);
    CHECK(seen.find(R"("Lease":7)") != std::string::npos);
}

TEST(store_client, reads_one_item)
{
    scripted_target store{
        [](std::string const&)
        {
            return json_answer(
                200, R"({"Key":"a b","Value":"aGk=","Revision":412})");
        }};
    auto const got =
        run<entry::store_item>(store, [](store_client& c, auto done)
                               { c.read("a b", std::move(done)); });
    CHECK(got.has_value());
    STRCMP_EQUAL("hi", got.value().value_.c_str());
    CHECK(got.value().revision_ == entry::store_revision{412});
    CHECK(store.requests()[0].starts_with("GET /v1/kv-key?Key=a%20b "));
}

TEST(store_client, an_answer_without_an_item_is_corrupt)
{
    scripted_target store{[](std::string const&)
                          {
                              return json_answer(200, "{}");
                          }};
    auto const got =
        run<entry::store_item>(store, [](store_client& c, auto done)
                               { c.read("a", std::move(done)); });
    CHECK(got.error().code_ == base::error_code::corrupt);
}

TEST(store_client, swaps_an_item_of_the_expected_revision)
{
    scripted_target store{[](std::string const&)
                          {
                              return json_answer(200, R"({"Revision":9})");
                          }};
    auto const got = run<entry::store_revision>(
        store,
        [](store_client& c, auto done)
        {
            c.compare_and_swap("k", entry::store_revision{8}, "hi",
                               entry::no_store_lease, std::move(done));
        });
    CHECK(got.has_value());
    CHECK(got.value() == entry::store_revision{9});
    auto const seen = store.requests()[0];
    CHECK(seen.find(R"("ExpectedRevision":[{"Key":"k","Revision":8}])") !=
          std::string::npos);
    CHECK(seen.find(R"("Lease":0)") != std::string::npos);
}

TEST(store_client, a_swap_of_another_revision_is_a_conflict)
{
    scripted_target store{[](std::string const&)
                          {
                              return json_answer(412, R"({"Items":[]})");
                          }};
    auto const got = run<entry::store_revision>(
        store,
        [](store_client& c, auto done)
        {
            c.compare_and_swap("k", entry::no_store_revision, "hi",
                               entry::no_store_lease, std::move(done));
        });
    CHECK(got.error().code_ == base::error_code::conflict);
}

TEST(store_client, maps_each_failure_to_an_error_code)
{
    for (auto const& c : fault_cases)
    {
        scripted_target store{[&](std::string const&)
                              {
                                  return json_answer(c.status_, c.body_);
                              }};
        auto const got = list(store);
        CHECK_TEXT(!got.has_value(), c.name_);
        CHECK_TEXT(got.error().code_ == c.code_, c.name_);
    }
}

TEST(store_client, reports_unknown_effect_without_a_whole_answer)
{
    scripted_target store{[](std::string const&) -> std::vector<answer_step>
                          {
                              return {{action::reset, ""}};
                          }};
    CHECK(list(store).error().code_ == base::error_code::unknown_effect);
    scripted_target truncated{
        [](std::string const&) -> std::vector<answer_step>
        {
            return {{action::send,
                     "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"},
                    {action::close, ""}};
        }};
    CHECK(list(truncated).error().code_ == base::error_code::unknown_effect);
}

TEST(store_client, removes_a_key)
{
    scripted_target store{[](std::string const&)
                          {
                              return json_answer(200, R"({"Revision":9})");
                          }};
    auto const got = run<void>(store, [](store_client& c, auto done)
                               { c.remove("k", std::move(done)); });
    CHECK(got.has_value());
    auto const seen = store.requests()[0];
    CHECK(seen.starts_with("POST /v1/kv-txn "));
    CHECK(seen.find(R"("Remove":["k"])") != std::string::npos);
    CHECK(seen.find(R"("Puts":[])") != std::string::npos);
}

TEST(store_client, reports_the_era_of_each_answer_before_the_answer)
{
    struct era_case
    {
        int status_;
        char const* era_;
        /// 0: not reported.
        std::uint64_t reported_;
    };
    constexpr era_case cases[] = {
        {200, "4", 4},    {503, "4", 4},
        {404, "5", 5},    {200, "", 0},
        {200, "four", 0}, {200, "-1", 0},
        {200, "4x", 0},   {200, "99999999999999999999999", 0},
    };
    for (auto const& c : cases)
    {
        scripted_target store{
            [&](std::string const&) -> std::vector<answer_step>
            {
                return {{action::send, "HTTP/1.1 " + std::to_string(c.status_) +
                                           " X\r\nStore-Era: " + c.era_ +
                                           "\r\nContent-Length: 2\r\n\r\n{}"}};
            }};
        std::uint64_t reported = 0;
        auto const got = run<entry::store_page>(
            store,
            [&](store_client& client, auto done)
            {
                client.set_era_observer(
                    [&](entry::store_era era)
                    {
                        reported = static_cast<std::uint64_t>(era);
                        return true;
                    });
                client.list("p/", "", false, std::move(done), {});
            });
        CHECK_TEXT(reported == c.reported_, c.era_);
        CHECK_TEXT(got.has_value() == (c.status_ == 200), c.era_);
    }
}

TEST(store_client, does_not_pass_on_an_answer_of_an_earlier_era)
{
    scripted_target store{[](std::string const&) -> std::vector<answer_step>
                          {
                              return {{action::send,
                                       "HTTP/1.1 200 X\r\nStore-Era: 3\r\n"
                                       "Content-Length: 2\r\n\r\n{}"}};
                          }};
    auto const got = run<entry::store_page>(
        store,
        [](store_client& client, auto done)
        {
            client.set_era_observer([](entry::store_era) { return false; });
            client.list("p/", "", false, std::move(done), {});
        });
    CHECK(got.error().code_ == base::error_code::unavailable);
}
