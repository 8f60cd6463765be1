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

namespace
{

/// Starts a chunked answer to a request and sends a part of it again and again.
class slow_sender
{
public:
    slow_sender(net::asio::io_context& loop,
                std::shared_ptr<net::caller_connection> to, std::string part,
                int parts)
        : to_{std::move(to)}, part_{std::move(part)}, parts_{parts},
          timer_{loop, [this]
                 {
                     send();
                 }}
    {
        net::http_response head;
        head.status_ = 200;
        to_->begin_answer(head);
        send();
    }

private:
    void send()
    {
        if (parts_-- == 0)
        {
            to_->end_answer();
            return;
        }
        to_->send_chunk(part_);
        timer_.set_after(20ms);
    }

    std::shared_ptr<net::caller_connection> to_;
    std::string part_;
    int parts_;
    net::deadline_timer timer_;
};

} // namespace

TEST_GROUP(http_client_progress)
{
    net::asio::io_context loop_{1};
    std::string part_;
    int parts_ = 0;
    std::optional<slow_sender> sender_;
    net::http_listener listener_{
        loop_, 16,
        [this](std::shared_ptr<net::caller_connection> const& from,
               net::http_request const&)
        {
            sender_.emplace(loop_, from, part_, parts_);
        }};
    net::http_client client_{loop_};
    int progress_count_ = 0;

    void setup() override
    {
        listener_.listen({"127.0.0.1", 0}).value();
    }

    /// Calls with a time of 200 ms until the head and a least rate of 1000
    /// bytes in 200 ms, for an answer of `parts` parts, one each 20 ms.
    base::result<net::http_response> call(std::string part, int parts)
    {
        part_ = std::move(part);
        parts_ = parts;
        net::call_limits limits{200ms};
        limits.progress_ = net::progress_limits{200ms, 1000};
        limits.on_progress_ = [this]
        {
            ++progress_count_;
        };
        std::optional<base::result<net::http_response>> outcome;
        net::http_request request{"GET", "/path", {}, {}};
        request.headers_.set("Host", "x");
        client_.call(listener_.local_address(), "ask", request, limits,
                     [&](base::result<net::http_response> got)
                     { outcome = std::move(got); });
        while (!outcome)
        {
            loop_.run_one();
        }
        return std::move(*outcome);
    }
};

TEST(http_client_progress, a_slow_answer_that_arrives_is_not_overdue)
{
    auto const got = call(std::string(1000, 'x'), 30);
    CHECK(got.has_value());
    LONGS_EQUAL(30000, got.value().body_.size());
    CHECK(progress_count_ > 1);
}

TEST(http_client_progress, a_byte_now_and_then_is_no_progress)
{
    auto const begin = net::now();
    auto const got = call("x", 1000);
    CHECK(got.error().code_ == base::error_code::unknown_effect);
    CHECK(net::now() - begin < 2s);
}

TEST(http_client_progress, an_answer_that_stalls_ends)
{
    auto const begin = net::now();
    auto const got = call("", 1000);
    CHECK(got.error().code_ == base::error_code::unknown_effect);
    CHECK(net::now() - begin < 2s);
}
