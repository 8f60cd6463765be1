#include "src/http/router.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;

namespace
{

struct route_case
{
    char const* method_;
    char const* target_;
    /// Pattern of the route that serves it; null when none does.
    char const* pattern_;
    std::vector<std::string> captures_;
};

std::vector<route_case> const route_cases{
    {"GET", "/a", "/a", {}},
    {"GET", "/a?x=1", "/a", {}},
    {"HEAD", "/a", "/a", {}},
    {"POST", "/a", nullptr, {}},
    {"GET", "/a/", nullptr, {}},
    {"GET", "/b/7", "/b/{}", {"7"}},
    {"GET", "/b/", nullptr, {}},
    {"GET", "/b/7/stream", "/b/{}/stream", {"7"}},
    {"GET", "/b/7/other", nullptr, {}},
    {"GET", "/b/x%20y", "/b/{}", {"x y"}},
    {"GET", "/b/x%2Fy", "/b/{}", {"x/y"}},
    {"GET", "/b/x%2", nullptr, {}},
    {"GET", "/s/till", "/s/{}/**", {"till"}},
    {"GET", "/s/till/", "/s/{}/**", {"till"}},
    {"GET", "/s/till/one/two?q", "/s/{}/**", {"till"}},
    {"GET", "/s", nullptr, {}},
    {"GET", "*", nullptr, {}},
    {"GET", "", nullptr, {}},
    {"GET", "http://other/a", nullptr, {}},
};

} // namespace

TEST_GROUP(router)
{
    http::router router_;
    std::string served_;

    void setup() override
    {
        for (auto const* pattern : {"/a", "/b/{}", "/b/{}/stream", "/s/{}/**"})
        {
            router_.add("GET", pattern,
                        [this, pattern](http::http_call const& /*call*/,
                                        http::http_reply& /*reply*/)
                        { served_ = pattern; });
        }
    }
};

TEST(router, table)
{
    for (auto const& row : route_cases)
    {
        http::http_call call;
        call.method_ = row.method_;
        call.target_ = row.target_;
        auto const* const found = router_.find(call);
        CHECK_EQUAL_TEXT(row.pattern_ == nullptr, found == nullptr,
                         row.target_);
        if (found != nullptr)
        {
            http::http_reply reply;
            found->serve_(call, reply);
            STRCMP_EQUAL_TEXT(row.pattern_, served_.c_str(), row.target_);
            CHECK_TEXT(row.captures_ == call.captures_, row.target_);
        }
    }
}

TEST(router, reads_decoded_parameters)
{
    http::http_call call;
    call.target_ = "/a?model=x%20y&empty=&twice=1&twice=2";
    STRCMP_EQUAL("x y", call.parameter("model").value_or("none").c_str());
    STRCMP_EQUAL("", call.parameter("empty").value_or("none").c_str());
    STRCMP_EQUAL("1", call.parameter("twice").value_or("none").c_str());
    CHECK_FALSE(call.parameter("other").has_value());
}
