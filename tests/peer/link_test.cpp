#include "src/peer/tcp_link.hpp"
#include "src/peer/udp_link.hpp"

#include <CppUTest/TestHarness.h>
#include <sys/socket.h>

#include <future>

using namespace tanagerlead;
using tanagerlead::peer::bind_socket;
using tanagerlead::peer::local_address;
using tanagerlead::peer::tcp_link;
using tanagerlead::peer::udp_link;

namespace
{
peer::socket bind_loopback(int type)
{
    return bind_socket(type, {"127.0.0.1", 0}).value();
}
} // namespace

TEST_GROUP(udp_link){};

TEST(udp_link, carries_a_datagram_with_its_sender)
{
    udp_link a{bind_loopback(SOCK_DGRAM)};
    udp_link b{bind_loopback(SOCK_DGRAM)};
    std::promise<std::pair<base::address, std::string>> arrived;
    b.on_receive(
        [&](auto const& from, auto const& bytes) {
            arrived.set_value({from, bytes});
        });
    b.start();
    a.send(b.local_address(), "hello");
    auto const [from, bytes] = arrived.get_future().get();
    CHECK(from == a.local_address());
    STRCMP_EQUAL("hello", bytes.c_str());
}

TEST_GROUP(tcp_link){void start_echo(tcp_link & link){
    link.on_call([](std::string const& bytes) { return bytes; });
CHECK(link.start().has_value());
}
}
;

TEST(tcp_link, answers_a_call_larger_than_a_segment)
{
    auto bound = bind_loopback(SOCK_STREAM);
    auto const address = local_address(bound);
    tcp_link server{std::move(bound)};
    start_echo(server);
    tcp_link client{bind_loopback(SOCK_STREAM)};
    std::string const large(std::size_t{3} << 20U, 'x');
    auto const answer = client.call(address, large);
    CHECK(answer.has_value());
    CHECK(answer.value() == large);
}

TEST(tcp_link, a_refused_connection_says_nothing_was_sent)
{
    base::address closed;
    {
        auto const bound = bind_loopback(SOCK_STREAM);
        closed = local_address(bound);
    }
    tcp_link client{bind_loopback(SOCK_STREAM)};
    auto const answer = client.call(closed, "x");
    CHECK(answer.error().code_ == base::error_code::not_sent);
    STRCMP_EQUAL(closed.str().c_str(), answer.error().peer_.c_str());
}
