#include "src/peer/socket.hpp"
#include "tests/fakes/relay.hpp"

#include <CppUTest/TestHarness.h>

#include <sys/socket.h>

#include <array>

using namespace tanagerlead;

namespace
{

constexpr timeval patience{10, 0};

/// What was read, "" at the end of the connection, "reset" on an error.
std::string read_from(peer::socket const& from)
{
    std::array<char, 100> buffer{};
    auto const size = ::recv(from.get(), buffer.data(), buffer.size(), 0);
    return size < 0 ? "reset" : std::string(buffer.data(), size);
}

void send_on(peer::socket const& to, std::string const& text)
{
    ::send(to.get(), text.data(), text.size(), MSG_NOSIGNAL);
}

peer::socket connect_to(int type, base::address const& to)
{
    peer::socket made{::socket(AF_INET, type, 0)};
    auto const far = peer::native(to);
    LONGS_EQUAL(0,
                ::connect(made.get(), reinterpret_cast<sockaddr const*>(&far),
                          sizeof far));
    ::setsockopt(made.get(), SOL_SOCKET, SO_RCVTIMEO, &patience,
                 sizeof patience);
    return made;
}

fakes::relay_order order(std::string const& json)
{
    return fakes::read_relay_order(json).value();
}

} // namespace

TEST_GROUP(relay)
{
    peer::socket listener_ =
        std::move(peer::bind_socket(SOCK_STREAM, {"127.0.0.1", 0}).value());
    peer::socket datagrams_ = std::move(
        peer::bind_socket(SOCK_DGRAM, peer::local_address(listener_)).value());
    fakes::relay relay_{{"127.0.0.1", 0}, peer::local_address(listener_)};
    peer::socket near_;
    peer::socket far_;

    void setup() override
    {
        ::listen(listener_.get(), 10);
        ::setsockopt(datagrams_.get(), SOL_SOCKET, SO_RCVTIMEO, &patience,
                     sizeof patience);
        CHECK(relay_.start().has_value());
    }

    void connect()
    {
        near_ = connect_to(SOCK_STREAM, relay_.address());
        far_ = peer::socket{::accept(listener_.get(), nullptr, nullptr)};
        ::setsockopt(far_.get(), SOL_SOCKET, SO_RCVTIMEO, &patience,
                     sizeof patience);
    }
};

TEST(relay, passes_both_ways_and_the_end)
{
    connect();
    send_on(near_, "there");
    STRCMP_EQUAL("there", read_from(far_).c_str());
    send_on(far_, "back");
    STRCMP_EQUAL("back", read_from(near_).c_str());
    far_ = {};
    STRCMP_EQUAL("", read_from(near_).c_str());
}

TEST(relay, cut_resets_both_ends)
{
    connect();
    relay_.apply(order(R"({"action":"cut"})"));
    STRCMP_EQUAL("reset", read_from(near_).c_str());
    STRCMP_EQUAL("reset", read_from(far_).c_str());
    connect();
    send_on(near_, "again");
    STRCMP_EQUAL("again", read_from(far_).c_str());
}

TEST(relay, cut_of_all_refuses_later_connections)
{
    relay_.apply(order(R"({"action":"cut","scope":"all"})"));
    near_ = connect_to(SOCK_STREAM, relay_.address());
    STRCMP_EQUAL("reset", read_from(near_).c_str());
    relay_.apply(order(R"({"action":"restore"})"));
    connect();
    send_on(near_, "again");
    STRCMP_EQUAL("again", read_from(far_).c_str());
}

TEST(relay, a_silenced_connection_stays_open_while_new_ones_work)
{
    connect();
    send_on(near_, "before");
    STRCMP_EQUAL("before", read_from(far_).c_str());
    relay_.apply(order(R"({"action":"silence"})"));
    auto const old_near = std::move(near_);
    auto const old_far = std::move(far_);
    send_on(old_near, "lost");
    connect();
    send_on(near_, "new");
    STRCMP_EQUAL("new", read_from(far_).c_str());
    // What passed on the new connection came after what was lost.
    std::array<char, 1> byte{};
    CHECK(::recv(old_far.get(), byte.data(), 1, MSG_DONTWAIT) < 0);
    CHECK(errno == EAGAIN);
}

TEST(relay, silence_may_be_one_way)
{
    connect();
    relay_.apply(order(R"({"action":"silence","direction":"forward"})"));
    send_on(near_, "lost");
    send_on(far_, "back");
    STRCMP_EQUAL("back", read_from(near_).c_str());
    std::array<char, 1> byte{};
    CHECK(::recv(far_.get(), byte.data(), 1, MSG_DONTWAIT) < 0);
}

TEST(relay, datagrams_pass_and_are_dropped_while_all_is_silent)
{
    auto const near = connect_to(SOCK_DGRAM, relay_.address());
    send_on(near, "one");
    STRCMP_EQUAL("one", read_from(datagrams_).c_str());
    relay_.apply(order(R"({"action":"silence","scope":"all"})"));
    send_on(near, "two");
    // The relay has read what came before an answered control call.
    send_on(near, "three");
    connect();
    relay_.apply(order(R"({"action":"restore"})"));
    send_on(near, "four");
    STRCMP_EQUAL("four", read_from(datagrams_).c_str());
}

TEST(relay, wrong_orders_are_refused)
{
    for (auto const* text : {"", "{}", R"({"action":"explode"})",
                             R"({"action":"cut","direction":"up"})"})
    {
        CHECK_FALSE(fakes::read_relay_order(text).has_value());
    }
}
