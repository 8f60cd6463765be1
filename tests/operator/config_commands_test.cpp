#include "tests/config/sample.hpp"
#include "tests/fakes/config_daemon.hpp"
#include "tools/operator/assignment.hpp"
#include "tools/operator/command.hpp"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace tanagerlead;
using operator_tool::exit_code;

namespace
{

/// A file that goes with the test.
class temporary_file
{
public:
    explicit temporary_file(char const* text)
    {
        char name[] = "/tmp/tanagerlead-test-XXXXXX";
        ::close(::mkstemp(name));
        path_ = name;
        std::ofstream{path_} << text;
    }

    ~temporary_file() { std::remove(path_.c_str()); }
    temporary_file(temporary_file const&) = delete;
    temporary_file& operator=(temporary_file const&) = delete;

    std::string const& path() const { return path_; }

private:
    std::string path_;
};

/// What a command printed and returned.
struct outcome
{
    exit_code code_;
    std::string out_;
    std::string errors_;
};

bool contains(std::string const& text, char const* part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(config_commands)
{
    fakes::config_daemon daemon_;
    temporary_file document_{sample_document};
    operator_tool::options options_;

    void setup() override
    {
        daemon_.members_ = {{base::daemon_id{"d1"},
                             base::data_centre_id{"brest"}, "alive",
                             base::config_version{1}}};
        CHECK(daemon_.start());
    }

    void teardown() override
    {
        daemon_.stop();
    }

    outcome run(std::vector<std::string> const& words,
                char const* key = fakes::config_daemon::operator_key)
    {
        operator_tool::operator_client const client{{daemon_.address()}, key};
        std::ostringstream out;
        std::ostringstream errors;
        auto const code =
            operator_tool::run_command(operator_tool::config_commands(), words,
                                       client, options_, out, errors);
        return {code, out.str(), errors.str()};
    }

    void create_first()
    {
        CHECK(run({"config", "patch", document_.path()}).code_ ==
              exit_code::ok);
        daemon_.wait_for_first_version();
    }
};

TEST(config_commands, a_file_makes_the_first_version)
{
    create_first();
    auto const got = run({"config", "get"});
    CHECK(got.code_ == exit_code::ok);
    CHECK(contains(got.out_, "127.0.0.1:9001"));
    CHECK(contains(run({"config", "history"}).out_, "1  "));
}

TEST(config_commands, assignments_patch_and_diff_shows_them)
{
    create_first();
    options_.assignments_ = {"/targets/r1/slots=9",
                             "/workspaces/thies/weight=3"};
    CHECK(contains(run({"config", "validate"}).out_, "+ /targets/r1/slots 9"));
    CHECK(contains(run({"config", "patch"}).out_, "version 2"));
    auto const diff = run({"config", "diff", "1", "2"});
    CHECK(contains(diff.out_, "- /targets/r1/slots 8"));
    CHECK(contains(diff.out_, "+ /workspaces/thies/weight 3"));
    options_.json_ = true;
    CHECK(contains(run({"config", "diff", "1", "2"}).out_, "\"changes\""));
}

TEST(config_commands, a_stale_base_is_a_conflict)
{
    create_first();
    options_.assignments_ = {"/targets/r1/slots=9"};
    options_.base_version_ = 1;
    CHECK(run({"config", "patch"}).code_ == exit_code::ok);
    auto const stale = run({"config", "patch"});
    CHECK(stale.code_ == exit_code::conflict);
    CHECK(contains(stale.errors_, "current version is 2"));
    CHECK(contains(stale.errors_, "+ /targets/r1/slots 9"));
}

TEST(config_commands, wrong_fields_are_named)
{
    create_first();
    options_.assignments_ = {"/targets/r1/slots=0"};
    for (auto const* verb : {"patch", "validate"})
    {
        auto const wrong = run({"config", verb});
        CHECK(wrong.code_ == exit_code::invalid);
        CHECK(contains(wrong.errors_, "/targets/r1/slots: must be"));
    }
}

TEST(config_commands, lost_answers_are_settled_by_the_patch_id)
{
    create_first();
    daemon_.key_value().set_faults({.lose_answers_ = 1'000'000});
    // Changes no page, so the swap of the head is the only write.
    options_.assignments_ = {"/targets/r1/slots=8"};
    options_.base_version_ = 1;
    auto const settled = run({"config", "patch"});
    CHECK(settled.code_ == exit_code::ok);
    CHECK(contains(settled.out_, "version 2"));
}

TEST(config_commands, pages_that_cannot_be_written_have_no_effect)
{
    create_first();
    daemon_.key_value().set_faults({.lose_answers_ = 1'000'000});
    options_.assignments_ = {"/targets/r1/slots=9"};
    options_.base_version_ = 1;
    CHECK(run({"config", "patch"}).code_ == exit_code::unavailable);
    daemon_.key_value().set_faults({});
    CHECK(contains(run({"config", "patch"}).out_, "version 2"));
}

TEST(config_commands, an_outage_is_told_with_its_exit_code)
{
    create_first();
    daemon_.key_value().set_faults({.outage_ = fakes::outage::refuse});
    options_.assignments_ = {"/targets/r1/slots=9"};
    auto const refused = run({"config", "patch"});
    CHECK(refused.code_ == exit_code::unavailable);
    CHECK(contains(refused.errors_,
                   daemon_.key_value().local_address().str().c_str()));
}

TEST(config_commands, waiting_reports_what_is_in_force)
{
    options_.wait_ = true;
    create_first();
    options_.longest_wait_ = {};
    options_.assignments_ = {"/targets/r1/slots=9"};
    auto const late = run({"config", "patch"});
    CHECK(late.code_ == exit_code::not_everywhere);
    CHECK(contains(late.out_, "\"d1\""));
}

TEST(config_commands, misuse_has_its_exit_codes)
{
    struct misuse_case
    {
        std::vector<std::string> words_;
        exit_code code_;
    };
    misuse_case const cases[] = {
        {{}, exit_code::usage},
        {{"config"}, exit_code::usage},
        {{"config", "fly"}, exit_code::usage},
        {{"config", "patch"}, exit_code::usage},
        {{"config", "diff"}, exit_code::usage},
        {{"config", "get", "1", "2"}, exit_code::usage},
        {{"config", "get", "77"}, exit_code::not_found},
        {{"config", "get", "x"}, exit_code::invalid},
        {{"config", "patch", "/nonexistent/file"}, exit_code::invalid},
    };
    for (auto const& misuse : cases)
    {
        CHECK_EQUAL(static_cast<int>(misuse.code_),
                    static_cast<int>(run(misuse.words_).code_));
    }
    CHECK(run({"config", "get"}, "wrong").code_ == exit_code::permission);
    operator_tool::operator_client const client{{}, ""};
    CHECK(client.get("config").error().code_ == base::error_code::not_sent);
}

TEST_GROUP(assignment){};

TEST(assignment, pointers_become_nested_members)
{
    auto const patch = operator_tool::merge_patch_of(
        {"/a/0/b~1c=1", "/a/0/d=text", "/a/e=null", "/f=[1,2]"});
    STRCMP_EQUAL(R"({"a":{"0":{"b/c":1,"d":"text"},"e":null},"f":[1,2]})",
                 patch.value().c_str());
}

TEST(assignment, malformed_ones_are_refused)
{
    for (auto const* text : {"", "a=1", "=1", "/a", "/a~2=1"})
    {
        CHECK_TEXT(!operator_tool::merge_patch_of({text}), text);
    }
    CHECK_FALSE(operator_tool::merge_patch_of({"/a=1", "/a/b=2"}).has_value());
}
