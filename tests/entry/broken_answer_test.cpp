#include "tests/entry/fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace tanagerlead;
using namespace tanagerlead::test;

namespace
{

using step = answer_step;
using action = answer_step::action;

struct broken_framing
{
    char const* name_;
    char const* field_;
    char const* before_body_;
    bool has_body_;
    action end_;
};

/// A chunk that `before_body_` begins is longer than the body.
constexpr broken_framing framings[] = {
    {"short of its length", "Content-Length: 2000000\r\n", "", true,
     action::close},
    {"reset short of its length", "Content-Length: 2000000\r\n", "", true,
     action::reset},
    {"cut inside a chunk", "Transfer-Encoding: chunked\r\n", "1e8480\r\n", true,
     action::close},
    {"reset inside a chunk", "Transfer-Encoding: chunked\r\n", "1e8480\r\n",
     true, action::reset},
    {"cut before the last chunk", "Transfer-Encoding: chunked\r\n",
     "4\r\nabcd\r\n", false, action::close},
    {"reset without a length", "", "", true, action::reset},
};

constexpr std::size_t body_sizes[] = {0, 10, 300'000};

std::vector<step> broken_answer(broken_framing const& how, std::size_t size,
                                std::string const& request)
{
    return {{action::send, "HTTP/1.1 200 OK\r\nTanagerlead-Request-Id: " +
                               header_value(request, "Tanagerlead-Request-Id") +
                               "\r\nTanagerlead-Server-Signature: proof\r\n" +
                               how.field_ + "\r\n" + how.before_body_ +
                               std::string(how.has_body_ ? size : 0, 'x')},
            {how.end_, ""}};
}

/// Whether a caller takes `answer` for a whole one.
bool is_whole(std::string const& answer)
{
    auto const head = answer.find("\r\n\r\n");
    if (head == std::string::npos)
    {
        return false;
    }
    auto const length = header_value(answer, "Content-Length");
    return length.empty()
               ? answer.ends_with("0\r\n\r\n") ||
                     header_value(answer, "Transfer-Encoding").empty()
               : answer.size() - head - 4 >= std::stoul(length);
}

std::string ask(entry_fixture& daemon, std::string const& path, int number)
{
    raw_caller caller{daemon.callers()};
    caller.send(entry_fixture::with_id(
        entry_fixture::request(path, std::to_string(number),
                               "Connection: close\r\n"),
        "r" + std::to_string(number)));
    return caller.read_to_end();
}

} // namespace

/// An answer that broke off never reaches the caller as a whole one.
namespace
{

struct broken_answers : Utest
{
    std::uint16_t port_ = free_port();
    entry_fixture entry_{"127.0.0.1", port_};
    int number_ = 0;
    /// A target that is gone after its answer would count as unreachable.
    std::vector<std::unique_ptr<scripted_target>> targets_;

    /// `reaching` sends the requests of `asked` to the target.
    void check_all(entry_fixture& asked, entry_fixture& reaching)
    {
        for (auto const& how : framings)
        {
            for (auto const size : body_sizes)
            {
                targets_.push_back(std::make_unique<scripted_target>(
                    [how, size](std::string const& request)
                    { return broken_answer(how, size, request); }));
                auto const& target = *targets_.back();
                auto infos = entry_fixture::entries_of({&target});
                infos[0].id_ =
                    base::target_id{"t-" + std::to_string(++number_)};
                reaching.set_registry(infos);
                if (&asked != &reaching)
                {
                    infos[0].address_ = {"127.0.0.3", 9};
                    asked.set_registry(infos);
                }
                auto const answer = ask(asked, "/once/", number_);
                auto const text = how.name_ + std::string{" "} +
                                  std::to_string(size) + ": " +
                                  answer.substr(0, 200);
                CHECK_TEXT(!answer.starts_with("HTTP/1.1 200") ||
                               !is_whole(answer),
                           text.c_str());
                LONGS_EQUAL_TEXT(1, target.requests().size(), text.c_str());
            }
        }
    }
};

} // namespace

TEST_GROUP_BASE(broken_answer, broken_answers){};

TEST(broken_answer, of_a_target)
{
    entry_.configure();
    check_all(entry_, entry_);
    entry_.set_registry({});
}

TEST_GROUP_BASE(relayed_broken_answer, broken_answers){};

TEST(relayed_broken_answer, does_not_pass_as_whole)
{
    entry_fixture other{"127.0.0.2", port_};
    entry_.configure();
    other.configure();
    entry_.set_daemons({"127.0.0.2"});
    other.set_daemons({"127.0.0.1"});
    std::this_thread::sleep_for(std::chrono::milliseconds{400});
    check_all(entry_, other);
    entry_.set_registry({});
    other.set_registry({});
}
