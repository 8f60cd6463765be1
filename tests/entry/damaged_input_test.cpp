#include "src/entry/report_codec.hpp"
#include "src/entry/settings.hpp"
#include "tests/entry/build_99d1b10.hpp"
#include "tests/entry/damaged_bytes.hpp"
#include "tests/entry/fixture.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

using namespace tanagerlead;
using namespace tanagerlead::test;
namespace asio = net::asio;

namespace
{

using step = answer_step;
using action = answer_step::action;

/// Address of a daemon that the one under test knows.
char const* const known_daemon = "127.0.0.2";

std::string whole_answer(std::string const& request)
{
    auto const is_stream = request.starts_with("POST /stream/") ||
                           request.starts_with("POST /flow/");
    return is_stream ? stream_head(request) + event_chunk(1) + event_chunk(2) +
                           stream_end
                     : complete_answer(request, 200, "done");
}

/// Says that it closes the connection. Otherwise the next request could be sent
/// just before the connection closes, and one that must not run twice fails.
std::vector<step> answer_and_close(std::string const& request)
{
    auto answer = whole_answer(request);
    answer.insert(answer.find("\r\n") + 2, "Connection: close\r\n");
    return {{action::send, answer}, {action::close, ""}};
}

asio::ip::address_v4 ip_of(std::string const& text)
{
    return asio::ip::make_address_v4(text);
}

/// Sends `bytes`, by default with the end of the stream, and returns what the
/// peer sends before it closes.
std::string send_to(base::address const& peer, std::string const& bytes,
                    std::string const& from, bool ends = true)
{
    // A port that is chosen by the connect can be reused soon, so that
    // thousands of connections leave ports to other tests.
    using late_port =
        asio::detail::socket_option::boolean<IPPROTO_IP,
                                             IP_BIND_ADDRESS_NO_PORT>;
    asio::io_context loop;
    net::tcp::socket socket{loop, net::tcp::v4()};
    socket.set_option(late_port{true});
    socket.bind({ip_of(from), 0});
    socket.connect({ip_of(peer.ip_), peer.port_});
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    if (ends)
    {
        socket.shutdown(net::tcp::socket::shutdown_send, error);
    }
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
}

std::string many_fields(std::string const& path, int number)
{
    return entry_fixture::request(
        path, "body " + std::to_string(number),
        "Tanagerlead-Token-Usage: 1460,80\r\nLast-Event-Id: 2\r\n"
        "Resumes: q0\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
        "Tanagerlead-Prompt-Prefix: 5c1e:800,e440:250\r\n");
}

std::string chunked_request(int number)
{
    return "POST /plain/ HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: k\r\n"
           "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n"
           "3\r\nabc\r\n4;x=1\r\n" +
           std::to_string(1000 + number) + "\r\n0\r\nX-Trailer: 1\r\n\r\n";
}

constexpr std::array paths{"/plain/", "/once/", "/stream/", "/flow/"};

} // namespace

/// Damaged bytes at every place where the daemon reads from outside. It goes on
/// serving.
TEST_GROUP(damaged_input)
{
    std::uint16_t port_ = free_port();
    entry_fixture entry_{"127.0.0.1", port_};
    scripted_target sound_{answer_and_close};
    int next_ = 0;

    void setup() override
    {
        entry_.configure();
        entry_.set_daemons({known_daemon});
    }

    void teardown() override
    {
        entry_.set_registry({});
    }

    /// Each call names another target, so that nothing known of an earlier one
    /// matters.
    void set_only_target(scripted_target const& target)
    {
        auto infos = entry_fixture::entries_of({&target});
        infos[0].id_ = base::target_id{"t-" + std::to_string(next_++)};
        entry_.set_registry(infos);
    }

    void check_serves()
    {
        set_only_target(sound_);
        for (auto const* const path : paths)
        {
            raw_caller caller{entry_.callers()};
            caller.send(
                entry_fixture::request(path, "sound " + std::to_string(next_++),
                                       "Connection: close\r\n"));
            auto const answer = caller.read_to_end();
            auto const text = path + (": " + answer);
            CHECK_TEXT(answer.starts_with("HTTP/1.1 200"), text.c_str());
        }
    }

    void send_damaged_requests(std::uint64_t seed, base::address const& to,
                               std::string const& from,
                               std::string const& fields)
    {
        damaged_bytes damage{seed};
        constexpr int batches = 4;
        constexpr int batch = 250;
        for (int i = 0; i < batches * batch; ++i)
        {
            if (i % batch == 0)
            {
                check_serves();
            }
            auto request =
                i % 5 == 4 ? chunked_request(i) : many_fields(paths[i % 4], i);
            request.insert(request.find("\r\n") + 2, fields);
            send_to(to, damage(request), from);
        }
        check_serves();
    }

    /// Each request is answered as it is; then it is sent with an extreme
    /// number in a field of `names`.
    void check_extreme_numbers(base::address const& to, std::string const& from,
                               std::string const& fields,
                               std::vector<std::string> const& names)
    {
        for (auto const& name : names)
        {
            for (auto const* const value : extreme_numbers)
            {
                set_only_target(sound_);
                auto const text = name + ": " + value;
                auto request = entry_fixture::request(
                    paths[next_ % 4], "body " + std::to_string(next_),
                    "Connection: close\r\n" + fields);
                auto const answer = send_to(to, request, from, false);
                CHECK_TEXT(answer.starts_with("HTTP/1.1 200"), text.c_str());
                set_field(request, name, value);
                CHECK_TEXT(
                    send_to(to, request, from, false).starts_with("HTTP/1.1 "),
                    text.c_str());
            }
        }
        check_serves();
    }

    static void set_field(std::string & request, std::string const& name,
                          std::string const& value)
    {
        auto const old = request.find(name + ": ");
        if (old != std::string::npos)
        {
            request.erase(old, request.find("\r\n", old) + 2 - old);
        }
        request.insert(request.find("\r\n") + 2, name + ": " + value + "\r\n");
    }

    static std::string damaged_answer(damaged_bytes & damage,
                                      std::string const& request, int number)
    {
        auto answer = whole_answer(request);
        answer.insert(answer.find("\r\n") + 2,
                      "Server-Limit: 50\r\nServer-Brittle: 9\r\n"
                      "Keep-Alive: timeout=15\r\nServer-Leaving: 0\r\n");
        if (number % 4 == 0)
        {
            answer.insert(0, "HTTP/1.1 100 Continue\r\n\r\n");
        }
        if (number % 4 == 1)
        {
            answer.replace(9, 3, "503");
            answer.insert(answer.find("\r\n") + 2, "Retry-After: 2\r\n");
        }
        return damage(answer);
    }

    void send_datagrams(std::uint64_t seed, std::vector<std::string> originals)
    {
        asio::io_context loop;
        asio::ip::udp::socket socket{loop, {ip_of(known_daemon), 0}};
        damaged_bytes damage{seed};
        constexpr int count = 2000;
        for (int i = 0; i < count; ++i)
        {
            auto const bytes = damage(originals[i % originals.size()]);
            socket.send_to(asio::buffer(bytes), {ip_of("127.0.0.1"), port_});
            if (i % 20 == 0)
            {
                // The datagrams sent so far are read before more fill the
                // buffer of the socket.
                entry_.on_loop([] {});
            }
            if (i % 500 == 499)
            {
                check_serves();
            }
        }
    }
};

TEST(damaged_input, requests_of_callers)
{
    send_damaged_requests(11, entry_.callers(), "127.0.0.1", "");
}

TEST(damaged_input, requests_to_the_health_port)
{
    send_damaged_requests(12, entry_.health(), "127.0.0.1", "");
}

TEST(damaged_input, requests_to_the_directory)
{
    base::address directory;
    entry_.on_loop([&] { directory = entry_.daemon().directory_address(); });
    send_damaged_requests(13, directory, "127.0.0.1", "");
}

TEST(damaged_input, relayed_requests)
{
    entry_fixture other{known_daemon, port_};
    other.configure();
    other.set_daemons({"127.0.0.1"});
    std::this_thread::sleep_for(std::chrono::milliseconds{400});
    send_damaged_requests(14, {"127.0.0.1", port_}, known_daemon,
                          "Relay-Attempts: 1\r\nRelay-Pool: p\r\n"
                          "Relay-Configuration: 1\r\n");
}

// Well-formed requests, which get an answer each.
TEST(damaged_input, extreme_numbers_of_callers)
{
    check_extreme_numbers(entry_.callers(), "127.0.0.1", "",
                          {"Tanagerlead-Deadline-Ms", "Last-Event-Id",
                           "Tanagerlead-Token-Usage"});
}

TEST(damaged_input, extreme_numbers_of_daemons)
{
    entry_fixture other{known_daemon, port_};
    other.configure();
    other.set_daemons({"127.0.0.1"});
    std::this_thread::sleep_for(std::chrono::milliseconds{400});
    check_extreme_numbers(
        {"127.0.0.1", port_}, known_daemon,
        "Relay-Attempts: 1\r\nRelay-Pool: p\r\nRelay-Configuration: 1\r\n",
        {"Relay-Attempts", "Relay-Configuration", "Tanagerlead-Deadline-Ms",
         "Last-Event-Id", "Tanagerlead-Token-Usage"});
}

TEST(damaged_input, answers_of_targets)
{
    damaged_bytes damage{15};
    int number = 0;
    scripted_target damaged{
        [&](std::string const& request) -> std::vector<step>
        {
            return {{action::send, damaged_answer(damage, request, ++number)},
                    {action::close, ""}};
        }};
    constexpr int count = 600;
    for (int i = 0; i < count; ++i)
    {
        set_only_target(damaged);
        raw_caller caller{entry_.callers()};
        caller.send(entry_fixture::request(paths[i % 4],
                                           "body " + std::to_string(i),
                                           "Connection: close\r\n"));
        auto const answer = caller.read_to_end();
        CHECK_TEXT(answer.starts_with("HTTP/1.1 "), answer.c_str());
        if (i % 100 == 99)
        {
            check_serves();
        }
    }
}

TEST(damaged_input, datagrams)
{
    auto const report = build_99d1b10::bytes_of(build_99d1b10::report_bytes);
    auto fields = *entry::read_report(report);
    fields.is_cut_off_ = true;
    fields.unreachable_pools_.push_back(routing::digest_of("p"));
    send_datagrams(
        16, {report, entry::write_report(fields),
             build_99d1b10::bytes_of(build_99d1b10::stream_message_bytes)});
}

TEST(damaged_input, settings)
{
    std::string const sound = R"({"daemon":"d","data_centre":"z",
        "callers":"127.0.0.1:80","health":"127.0.0.1:81",
        "directory":"127.0.0.1:82","peers":"127.0.0.1:83","report_port":84,
        "metrics_port":85,"seeds":["127.0.0.1:86"],"store":"127.0.0.1:87",
        "most_descriptors":1000,"grace_seconds":3,"retry_ratio":0.1,
        "retry_slack":10,"retry_window_seconds":10,"quota_slack":100,
        "weigh_kept_prompts":true})";
    CHECK(entry::read_settings(sound).has_value());
    damaged_bytes damage{17};
    constexpr int count = 5000;
    for (int i = 0; i < count; ++i)
    {
        auto const got = entry::read_settings(damage(sound));
        CHECK(got || !got.error().detail_.empty());
        CHECK(!got || got.value().max_descriptors_ >= 64);
    }
}
