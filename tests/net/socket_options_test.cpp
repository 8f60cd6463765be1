#include "src/net/socket_options.hpp"

#include <CppUTest/TestHarness.h>
#include <netinet/tcp.h>

#include <chrono>

using namespace tanagerlead;
using namespace std::chrono_literals;

TEST_GROUP(socket_options)
{
    net::asio::io_context loop_;
    net::tcp::socket socket_{loop_};

    int option(int level, int name)
    {
        int value = -1;
        socklen_t size = sizeof value;
        LONGS_EQUAL(0, ::getsockopt(socket_.native_handle(), level, name,
                                    &value, &size));
        return value;
    }
};

// TCP_USER_TIMEOUT, where set, replaces TCP_KEEPCNT as the limit of probes.
TEST(socket_options, the_send_timeout_covers_the_keep_alive_probes)
{
    for (auto const timeout : {2s, 10s})
    {
        socket_.open(net::tcp::v4());
        net::set_socket_options(socket_, timeout);
        auto const user_timeout = option(IPPROTO_TCP, TCP_USER_TIMEOUT);
        LONGS_EQUAL(base::milliseconds(timeout), user_timeout);
        LONGS_EQUAL(1, option(SOL_SOCKET, SO_KEEPALIVE));
        // A probe is sent and can be answered before the connection fails.
        auto const first_probe_ms = 1000 * option(IPPROTO_TCP, TCP_KEEPIDLE);
        CHECK(first_probe_ms + 500 < user_timeout);
        socket_.close();
    }
}
