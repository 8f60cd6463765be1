#include "tests/entry/fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::test;

namespace
{

std::vector<answer_step> answer_as_brittle(std::string const& request)
{
    auto answer = complete_answer(request, 200, "done");
    answer.insert(answer.find("\r\n") + 2,
                  "Server-Brittle: 3\r\nConnection: close\r\n");
    return {{answer_step::action::send, answer},
            {answer_step::action::close, ""}};
}

} // namespace

TEST_GROUP(brittle_target)
{
    scripted_target target_{answer_as_brittle};
    std::uint16_t port_ = free_port();
    entry_fixture first_{"127.0.0.1", port_};
    entry_fixture second_{"127.0.0.2", port_};

    /// A target whose only slot is the second daemon's. Connections between the
    /// daemons come from 127.0.0.1 in both directions, and a daemon takes
    /// requests only from daemons that it knows.
    routing::target_info target_of_second() const
    {
        routing::peer_ip const first{0x7f000001};
        routing::peer_ip const second{0x7f000002};
        routing::target_info out;
        out.pool_ = base::pool_id{"p"};
        out.address_ = target_.address();
        out.data_centre_ = base::data_centre_id{"here"};
        auto const is_second_ahead = [&]
        {
            auto const key = static_cast<std::uint64_t>(digest_of(out));
            return routing::rendezvous_rank(second, key) >
                   routing::rendezvous_rank(first, key);
        };
        int number = 0;
        do
        {
            out.id_ = base::target_id{"i-" + std::to_string(number++)};
        } while (!is_second_ahead());
        return out;
    }

    int ask(entry_fixture & daemon)
    {
        raw_caller caller{daemon.callers()};
        caller.send(
            entry_fixture::request("/plain/", "", "Connection: close\r\n"));
        return caller.read_to_end().starts_with("HTTP/1.1 200") ? 1 : 0;
    }
};

// The only slot is one daemon's; the other one passes its requests on.
TEST(brittle_target, serves_callers_of_a_daemon_without_a_slot)
{
    for (auto* const daemon : {&first_, &second_})
    {
        daemon->configure();
        daemon->set_registry({target_of_second()});
    }
    first_.set_daemons({"127.0.0.2"});
    second_.set_daemons({"127.0.0.1"});
    std::this_thread::sleep_for(std::chrono::milliseconds{400});
    LONGS_EQUAL(1, ask(first_) | ask(second_));
    std::this_thread::sleep_for(std::chrono::milliseconds{400});
    int first = 0;
    int second = 0;
    for (int i = 0; i < 5; ++i)
    {
        first += ask(first_);
        second += ask(second_);
    }
    LONGS_EQUAL(5, first);
    LONGS_EQUAL(5, second);
    for (auto* const daemon : {&first_, &second_})
    {
        daemon->set_registry({});
    }
}
