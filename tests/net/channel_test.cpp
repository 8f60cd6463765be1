#include "src/net/channel.hpp"

#include <CppUTest/TestHarness.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <optional>
#include <thread>

using namespace tanagerlead;
using namespace std::chrono_literals;

namespace
{

/// More than the socket buffers of both ends hold.
constexpr std::size_t large_upload = 32U << 20U;

/// A peer that accepts one connection and does what it likes with it.
class raw_peer
{
public:
    explicit raw_peer(std::function<void(int)> act)
        : listener_{::socket(AF_INET, SOCK_STREAM, 0)}
    {
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        (void)::bind(listener_, reinterpret_cast<sockaddr*>(&name),
                     sizeof name);
        ::listen(listener_, 1);
        socklen_t size = sizeof name;
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&name), &size);
        address_ = {"127.0.0.1", ntohs(name.sin_port)};
        thread_ = std::thread{[this, act = std::move(act)]
                              {
                                  auto const socket =
                                      ::accept(listener_, nullptr, nullptr);
                                  act(socket);
                                  ::close(socket);
                              }};
    }

    ~raw_peer()
    {
        thread_.join();
        ::close(listener_);
    }

    raw_peer(raw_peer const&) = delete;
    raw_peer& operator=(raw_peer const&) = delete;

    base::address const& address() const { return address_; }

    static void send(int socket, std::string const& bytes)
    {
        ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    /// Reads up to the end of the head; the rest of the body is left.
    static void read_head(int socket)
    {
        std::string got;
        std::array<char, 512> bytes{};
        while (got.find("\r\n\r\n") == std::string::npos)
        {
            auto const count = ::recv(socket, bytes.data(), bytes.size(), 0);
            if (count <= 0)
            {
                return;
            }
            got.append(bytes.data(), static_cast<std::size_t>(count));
        }
    }

    /// Reads at least `size` bytes, in so far as they come.
    static void read(int socket, std::size_t size)
    {
        std::array<char, 65536> bytes{};
        for (std::size_t got = 0; got < size;)
        {
            auto const count = ::recv(socket, bytes.data(), bytes.size(), 0);
            if (count <= 0)
            {
                return;
            }
            got += static_cast<std::size_t>(count);
        }
    }

    /// The close that follows resets the connection.
    static void reset_at_close(int socket)
    {
        linger const hard{1, 0};
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    }

private:
    int listener_;
    base::address address_;
    std::thread thread_;
};

/// What became of one exchange.
struct exchange_record final : net::answer_sink
{
    net::head_action on_head(net::http_response const& head) override
    {
        status_ = head.status_;
        return net::head_action::accept;
    }
    void on_body(std::string_view bytes) override { body_.append(bytes); }
    void on_complete(net::answer_end end) override { end_ = end; }
    void on_broken(std::string const& detail) override { broken_ = detail; }

    bool has_ended() const { return end_ || broken_; }

    std::optional<int> status_;
    std::string body_;
    std::optional<net::answer_end> end_;
    std::optional<std::string> broken_;
};

struct answer_case
{
    char const* name_;
    std::string bytes_;
};

std::string const rest = "\r\nContent-Length: 2\r\n\r\nok";

/// Statuses have three digits, of which the first is 1 to 5 (RFC 9110).
answer_case const malformed_statuses[] = {
    {"000", "HTTP/1.1 000 X" + rest},
    {"099", "HTTP/1.1 099 X" + rest},
    {"600", "HTTP/1.1 600 X" + rest},
    {"999", "HTTP/1.1 999 X" + rest},
    {"000 after an interim answer",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X" + rest},
    {"two digits", "HTTP/1.1 20 X" + rest},
    {"four digits", "HTTP/1.1 2000 X" + rest},
    {"a sign", "HTTP/1.1 +20 X" + rest},
    {"a letter", "HTTP/1.1 2x0 X" + rest},
    {"none", "HTTP/1.1" + rest},
};

std::string coded(std::string const& field)
{
    return "HTTP/1.1 200 OK\r\n" + field + "\r\n\r\n2\r\nok\r\n0\r\n\r\n";
}

/// Only `chunked` is decoded. A body with another coding would be passed on as
/// the peer's although it is not, and without the field that says so.
answer_case const unknown_codings[] = {
    {"another coding", coded("Transfer-Encoding: gzip")},
    {"another coding before chunked",
     coded("Transfer-Encoding: gzip, chunked")},
    {"another coding after chunked", coded("Transfer-Encoding: chunked, gzip")},
    {"another coding in a field of its own",
     coded("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked")},
    {"chunked twice", coded("Transfer-Encoding: chunked, chunked")},
    {"identity", coded("Transfer-Encoding: identity")},
    {"no coding", coded("Transfer-Encoding:")},
    {"a length besides", coded("Transfer-Encoding: chunked\r\n"
                               "Content-Length: 2")},
};

std::string named(std::string const& line)
{
    return "HTTP/1.1 200 OK\r\n" + line + rest;
}

using namespace std::string_literals;

answer_case const malformed_fields[] = {
    {"a blank in a name", named("X y: z")},
    {"a tab in a name", named("X\ty: z")},
    {"a control byte in a name", named("X\x01: z")},
    {"a null byte in a name", named("X\0: z"s)},
    {"a byte beyond ASCII in a name", named("X\x80: z")},
    {"a parenthesis in a name", named("X(y): z")},
    {"no name", named(": z")},
    {"no colon", named("X")},
    {"a blank before the colon", named("X : z")},
    {"a control byte in a value", named("X: \x01")},
    {"a null byte in a value", named("X: a\0b"s)},
    {"a folded first line", "HTTP/1.1 200 OK\r\n X: y" + rest},
    {"two lengths", named("Content-Length: 2")},
    {"a length with a sign", "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok"},
    {"a length that is no number",
     "HTTP/1.1 200 OK\r\nContent-Length: 0x2\r\n\r\nok"},
};

/// The head is sound, so only the end of the answer tells.
answer_case const malformed_ends[] = {
    {"a size of a chunk with a sign",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
     "+2\r\nok\r\n0\r\n\r\n"},
    {"a blank in the name of a trailer",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
     "2\r\nok\r\n0\r\nX y: z\r\n\r\n"},
    {"a control byte in the name of a trailer",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
     "2\r\nok\r\n0\r\nX\x01: z\r\n\r\n"},
};

std::string const unframed = "HTTP/1.1 200 OK\r\nX: y\r\n\r\n";

} // namespace

TEST_GROUP(channel)
{
    net::asio::io_context loop_{1};
    exchange_record got_;

    /// Sends `body` to `peer` and waits for the end of the exchange.
    void exchange(raw_peer const& peer, std::string body)
    {
        got_ = exchange_record{};
        auto const channel =
            std::make_shared<net::channel>(loop_, peer.address());
        channel->connect(
            1s,
            [&](net::error_code const& error)
            {
                CHECK(!error);
                net::http_request request{"POST", "/path", {}, std::move(body)};
                request.headers_.set("Host", "x");
                channel->exchange(request, got_);
            });
        auto const until = net::now() + 10s;
        while (!got_.has_ended() && net::now() < until)
        {
            loop_.run_one_for(100ms);
        }
        channel->close();
        loop_.poll();
    }

    void check_refused(answer_case const& each)
    {
        raw_peer const peer{[&each](int socket)
                            {
                                raw_peer::read_head(socket);
                                raw_peer::send(socket, each.bytes_);
                            }};
        exchange(peer, "");
        CHECK_TEXT(got_.broken_.has_value(), each.name_);
        CHECK_TEXT(!got_.status_, each.name_);
    }
};

// Beast's parser takes any three digits.
TEST(channel, a_status_that_does_not_exist_is_no_answer)
{
    for (auto const& each : malformed_statuses)
    {
        check_refused(each);
    }
}

TEST(channel, an_answer_with_a_coding_that_is_not_decoded_is_refused)
{
    for (auto const& each : unknown_codings)
    {
        check_refused(each);
    }
}

TEST(channel, a_head_with_a_malformed_field_is_no_answer)
{
    for (auto const& each : malformed_fields)
    {
        check_refused(each);
    }
}

TEST(channel, an_answer_with_a_malformed_end_is_not_whole)
{
    for (auto const& each : malformed_ends)
    {
        raw_peer const peer{[&each](int socket)
                            {
                                raw_peer::read_head(socket);
                                raw_peer::send(socket, each.bytes_);
                            }};
        exchange(peer, "");
        CHECK_TEXT(got_.broken_.has_value(), each.name_);
        CHECK_TEXT(!got_.end_, each.name_);
    }
}

// The name of the coding is not case-sensitive.
TEST(channel, a_chunked_answer_is_decoded)
{
    auto const bytes = coded("Transfer-Encoding: Chunked");
    raw_peer const peer{[&bytes](int socket)
                        {
                            raw_peer::read_head(socket);
                            raw_peer::send(socket, bytes);
                        }};
    exchange(peer, "");
    CHECK(got_.end_ == net::answer_end::framing);
    STRCMP_EQUAL("ok", got_.body_.c_str());
}

// A write that fails takes the error of the connection with it, and the end
// that is read after it looks orderly.
TEST(channel, a_reset_during_the_upload_is_no_end_of_an_answer)
{
    // The smaller upload fits into the socket buffers, or nearly so.
    for (auto const upload : {std::size_t{1} << 20U, large_upload})
    {
        for (auto const size : {0U, 15U, 500U, 30'000U})
        {
            raw_peer const peer{
                [size](int socket)
                {
                    raw_peer::read_head(socket);
                    raw_peer::send(socket, unframed + std::string(size, 'x'));
                    // The answer is read before the reset.
                    std::this_thread::sleep_for(50ms);
                    raw_peer::reset_at_close(socket);
                }};
            exchange(peer, std::string(upload, 'u'));
            CHECK(got_.broken_.has_value());
            CHECK(!got_.end_);
        }
    }
}

TEST(channel, an_end_before_the_upload_fails_is_no_end_of_an_answer)
{
    raw_peer const peer{[](int socket)
                        {
                            raw_peer::read_head(socket);
                            raw_peer::send(socket, unframed + "part");
                            ::shutdown(socket, SHUT_WR);
                            std::this_thread::sleep_for(50ms);
                            raw_peer::reset_at_close(socket);
                        }};
    exchange(peer, std::string(large_upload, 'u'));
    CHECK(got_.broken_.has_value());
}

TEST(channel, an_answer_may_end_before_the_whole_upload_is_read)
{
    raw_peer const peer{[](int socket)
                        {
                            raw_peer::read_head(socket);
                            raw_peer::send(socket, unframed + "whole");
                            ::shutdown(socket, SHUT_WR);
                            std::this_thread::sleep_for(50ms);
                            raw_peer::read(socket, large_upload);
                        }};
    exchange(peer, std::string(large_upload, 'u'));
    CHECK(got_.end_ == net::answer_end::close);
    STRCMP_EQUAL("whole", got_.body_.c_str());
}

TEST(channel, a_framed_answer_is_whole_although_the_upload_is_reset)
{
    raw_peer const peer{[](int socket)
                        {
                            raw_peer::read_head(socket);
                            raw_peer::send(socket,
                                           "HTTP/1.1 413 No\r\n"
                                           "Content-Length: 5\r\n\r\nlarge");
                            std::this_thread::sleep_for(50ms);
                            raw_peer::reset_at_close(socket);
                        }};
    exchange(peer, std::string(large_upload, 'u'));
    CHECK(got_.end_ == net::answer_end::framing);
    LONGS_EQUAL(413, *got_.status_);
}

TEST(channel, an_answer_without_a_length_ends_with_its_connection)
{
    raw_peer const peer{[](int socket)
                        {
                            raw_peer::read_head(socket);
                            raw_peer::send(socket, unframed + "whole");
                        }};
    exchange(peer, "");
    CHECK(got_.end_ == net::answer_end::close);
    STRCMP_EQUAL("whole", got_.body_.c_str());
}
