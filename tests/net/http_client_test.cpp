#include "src/net/http_client.hpp"

#include "src/net/http_listener.hpp"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace tanagerlead;
using namespace std::chrono_literals;

TEST_GROUP(http_client)
{
    net::asio::io_context loop_{1};
    std::vector<std::shared_ptr<net::caller_connection>> unanswered_;
    bool answer_requests_ = true;
    net::http_listener listener_{
        loop_, 16,
        [this](std::shared_ptr<net::caller_connection> const& from,
               net::http_request const& request)
        {
            if (!answer_requests_)
            {
                unanswered_.push_back(from);
                return;
            }
            net::http_response echo;
            echo.status_ = 200;
            echo.body_ = request.target_;
            from->answer(echo);
        }};
    net::http_client client_{loop_};

    void setup() override
    {
        listener_.listen({"127.0.0.1", 0}).value();
    }

    base::result<net::http_response> call(base::address const& to,
                                          net::call_limits const& limits =
                                              net::call_limits{10s})
    {
        std::optional<base::result<net::http_response>> outcome;
        net::http_request request{"GET", "/path", {}, {}};
        request.headers_.set("Host", "x");
        client_.call(to, "ask", request, limits,
                     [&](base::result<net::http_response> got)
                     { outcome = std::move(got); });
        while (!outcome)
        {
            loop_.run_one();
        }
        return std::move(*outcome);
    }

    base::address listener_address() const
    {
        return listener_.local_address();
    }
};

TEST(http_client, reuses_its_connection)
{
    STRCMP_EQUAL("/path", call(listener_address()).value().body_.c_str());
    STRCMP_EQUAL("/path", call(listener_address()).value().body_.c_str());
    CHECK_EQUAL(1, listener_.connection_count());
}

TEST(http_client, reports_not_sent_when_the_connect_fails)
{
    auto const refused = call({"127.0.0.1", 1});
    CHECK(refused.error().code_ == base::error_code::not_sent);
    STRCMP_EQUAL("ask", refused.error().step_.c_str());
    STRCMP_EQUAL("127.0.0.1:1", refused.error().peer_.c_str());
}

TEST(http_client, reports_unknown_effect_on_a_timeout)
{
    answer_requests_ = false;
    auto const timed_out = call(listener_address(), {20ms});
    CHECK(timed_out.error().code_ == base::error_code::unknown_effect);
}

TEST(http_client, reports_unknown_effect_when_the_connection_ends)
{
    answer_requests_ = false;
    net::deadline_timer abort_timer{loop_, [this]
                                    {
                                        listener_.abort_all();
                                    }};
    abort_timer.set_after(20ms);
    auto const aborted = call(listener_address());
    CHECK(aborted.error().code_ == base::error_code::unknown_effect);
}
