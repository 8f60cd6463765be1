#include "tests/entry/fixture.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/asio/write.hpp>

#include <memory>

using namespace tanagerlead;
using namespace tanagerlead::test;
using namespace std::chrono_literals;

namespace
{

using step = answer_step;
using action = answer_step::action;

/// Answers that are none, or whose body cannot be read. The place of the
/// fields that name the request and sign the answer is marked with %.
struct malformed_answer
{
    char const* name_;
    char const* bytes_;
};

constexpr malformed_answer answers[] = {
    {"status 000", "HTTP/1.1 000 X\r\n%Content-Length: 2\r\n\r\nok"},
    {"status 099", "HTTP/1.1 099 X\r\n%Content-Length: 2\r\n\r\nok"},
    {"status 600", "HTTP/1.1 600 X\r\n%Content-Length: 2\r\n\r\nok"},
    {"status 000 after an interim answer",
     "HTTP/1.1 100 Continue\r\n\r\n"
     "HTTP/1.1 000 X\r\n%Content-Length: 2\r\n\r\nok"},
    {"a blank in the name of a field",
     "HTTP/1.1 200 OK\r\nX y: z\r\n%Content-Length: 2\r\n\r\nok"},
    {"a control byte in the name of a field",
     "HTTP/1.1 200 OK\r\nX\x01: z\r\n%Content-Length: 2\r\n\r\nok"},
    {"a coding that is not decoded",
     "HTTP/1.1 200 OK\r\n%Transfer-Encoding: gzip, chunked\r\n\r\n"
     "2\r\nok\r\n0\r\n\r\n"},
};

std::string signed_for(malformed_answer const& answer,
                       std::string const& request)
{
    std::string bytes{answer.bytes_};
    return bytes.replace(bytes.find('%'), 1,
                         "Tanagerlead-Request-Id: " +
                             header_value(request, "Tanagerlead-Request-Id") +
                             "\r\nTanagerlead-Server-Signature: proof\r\n");
}

/// Targets that stay until the end of a test: one that is gone after its answer
/// would count as unreachable.
struct malformed_answers : Utest
{
    std::uint16_t port_ = free_port();
    entry_fixture entry_{"127.0.0.1", port_};
    int number_ = 0;
    std::vector<std::unique_ptr<scripted_target>> targets_;

    /// `reaching` sends the requests of `asked` to the target.
    void check_all(entry_fixture& asked, entry_fixture& reaching)
    {
        for (auto const& each : answers)
        {
            targets_.push_back(std::make_unique<scripted_target>(
                [&each](std::string const& request) -> std::vector<step> {
                    return {{action::send, signed_for(each, request)}};
                }));
            auto infos = entry_fixture::entries_of({targets_.back().get()});
            infos[0].id_ = base::target_id{"t-" + std::to_string(++number_)};
            reaching.set_registry(infos);
            if (&asked != &reaching)
            {
                infos[0].address_ = {"127.0.0.3", 9};
                asked.set_registry(infos);
            }
            raw_caller caller{asked.callers()};
            caller.send(entry_fixture::with_id(
                entry_fixture::request("/once/", "", "Connection: close\r\n"),
                "r" + std::to_string(number_)));
            auto const answer = caller.read_to_end();
            CHECK_TEXT(answer.starts_with("HTTP/1.1 502"), each.name_);
            CHECK_TEXT(answer.find("Signature") == std::string::npos,
                       each.name_);
            LONGS_EQUAL_TEXT(1, targets_.back()->requests().size(), each.name_);
        }
    }
};

/// More than the socket buffers of both ends hold.
constexpr std::size_t large_upload = 16U << 20U;

/// A target that answers as soon as it has read the head of a request, and
/// resets the connection while the body is being sent.
class early_target
{
public:
    explicit early_target(std::string answer)
        : listener_{loop_,
                    net::tcp::endpoint{net::asio::ip::make_address("127.0.0.1"),
                                       0}},
          thread_{[this, answer = std::move(answer)]
                  {
                      serve(answer);
                  }}
    {
    }

    ~early_target() { thread_.join(); }
    early_target(early_target const&) = delete;
    early_target& operator=(early_target const&) = delete;

    base::address address() const
    {
        return {"127.0.0.1", listener_.local_endpoint().port()};
    }

private:
    void serve(std::string const& answer)
    {
        net::tcp::socket socket{loop_};
        listener_.accept(socket);
        std::string head;
        while (head.find("\r\n\r\n") == std::string::npos)
        {
            std::array<char, 64> bytes{};
            head.append(bytes.data(),
                        socket.read_some(net::asio::buffer(bytes)));
        }
        auto const id = header_value(head, "Tanagerlead-Request-Id");
        net::asio::write(
            socket,
            net::asio::buffer(
                "HTTP/1.1 200 OK\r\nTanagerlead-Request-Id: " + id +
                "\r\nTanagerlead-Server-Signature: proof\r\n" + answer));
        std::this_thread::sleep_for(50ms);
        socket.set_option(net::asio::socket_base::linger{true, 0});
    }

    net::asio::io_context loop_{1};
    net::tcp::acceptor listener_;
    std::thread thread_;
};

} // namespace

TEST_GROUP_BASE(malformed_answer, malformed_answers){};

TEST(malformed_answer, of_a_target_does_not_reach_the_caller)
{
    entry_.configure();
    check_all(entry_, entry_);
    entry_.set_registry({});
}

TEST(malformed_answer, does_not_pass_a_relay)
{
    entry_fixture other{"127.0.0.2", port_};
    entry_.configure();
    other.configure();
    entry_.set_daemons({"127.0.0.2"});
    other.set_daemons({"127.0.0.1"});
    std::this_thread::sleep_for(400ms);
    check_all(entry_, other);
    entry_.set_registry({});
    other.set_registry({});
}

// The part of the answer that came before the reset is not the whole.
TEST(malformed_answer, an_early_answer_that_is_reset_is_not_whole)
{
    entry_.configure(5s, 2 * large_upload);
    for (auto const* const path : {"/once/", "/flow/"})
    {
        early_target const target{
            std::string{"Content-Type: text/event-stream\r\n\r\n"
                        "id: 1\ndata: x\n\n"}};
        scripted_target const unused{[](std::string const&)
                                     {
                                         return std::vector<step>{};
                                     }};
        auto infos = entry_fixture::entries_of({&unused});
        infos[0].id_ = base::target_id{"e-" + std::to_string(++number_)};
        infos[0].address_ = target.address();
        entry_.set_registry(infos);
        raw_caller caller{entry_.callers()};
        caller.send(entry_fixture::request(path, std::string(large_upload, 'u'),
                                           "Connection: close\r\n"));
        auto const answer = caller.read_to_end();
        auto const is_whole =
            answer.starts_with("HTTP/1.1 200") &&
            (answer.ends_with(stream_end) ||
             answer.find("Content-Length") != std::string::npos);
        CHECK_TEXT(!is_whole, answer.substr(0, 300).c_str());
        entry_.set_registry({});
    }
}
