#include "tools/operator/log_story.hpp"

#include <CppUTest/TestHarness.h>

#include <sstream>

using namespace tanagerlead::operator_tool;

namespace
{

char const* const first_log =
    "10:00:00.000 INFO  config: Configuration in force. version=4\n"
    "10:00:08.500 INFO  config: Configuration in force. version=7\n"
    "10:00:10.000 INFO  entry: Attempt failed. request=ab12 target=i-1\n"
    "10:00:10.100 INFO  entry: Request ended. request=ab123 outcome=complete\n"
    "10:00:10.200 INFO  entry: Request ended. request=ab12 outcome=cut\n"
    "10:00:11.000 INFO  registry: Targets changed. targets=3\n"
    "no time here request=ab12 \n";

char const* const second_log =
    "10:00:09.000 INFO  registry: Targets changed. targets=4\n";

std::vector<story_line> story(char const* request)
{
    log_story out{request};
    std::istringstream first{first_log};
    std::istringstream second{second_log};
    out.read("second", second);
    out.read("first", first);
    return out.lines();
}

} // namespace

TEST_GROUP(log_story){};

TEST(log_story, reads_the_time_wherever_it_stands)
{
    LONGS_EQUAL(36000123, time_of("  1.5 host 10:00:00.123 INFO"));
    LONGS_EQUAL(-1, time_of("10:00:00"));
    LONGS_EQUAL(-1, time_of(""));
}

TEST(log_story, tells_a_request_with_the_beliefs_of_its_daemon)
{
    auto const lines = story("ab12");
    LONGS_EQUAL(3, lines.size());
    CHECK(lines[0].text_.find("version=7") != std::string::npos);
    CHECK(lines[1].text_.find("Attempt failed") != std::string::npos);
    CHECK(lines[2].text_.find("outcome=cut") != std::string::npos);
}

TEST(log_story, is_empty_for_an_unknown_request)
{
    CHECK(story("ab1").empty());
}
