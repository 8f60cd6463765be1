#include "src/external/http_host_list.hpp"
#include "tests/fakes/fake_host_list.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace std::chrono_literals;
using base::error_code;
using external::host_state;

namespace
{

external::listed_host make_host(char const* name, host_state state)
{
    return {base::host_id{name},
            base::data_centre_id{"brest"},
            state,
            {"127.0.0.1", 4000}};
}

} // namespace

TEST_GROUP(host_list)
{
    base::manual_clock clock_;
    fakes::fake_host_list fake_{{"127.0.0.1", 0}, clock_};

    void setup() override
    {
        CHECK(fake_.start().has_value());
    }
    void teardown() override
    {
        fake_.stop();
    }

    external::http_host_list list() const
    {
        return {{fake_.local_address()}, {500ms, 500ms}};
    }
};

TEST(host_list, hosts_and_their_states_are_read)
{
    fake_.set_hosts({make_host("h1", host_state::live),
                     make_host("h2", host_state::leaving)});
    auto reader = list();
    auto const hosts = reader.read();
    CHECK(hosts.has_value());
    CHECK_EQUAL(2, hosts.value().size());
    STRCMP_EQUAL("h1", hosts.value()[0].host_.str().c_str());
    CHECK(hosts.value()[1].state_ == host_state::leaving);
    CHECK_EQUAL(4000, hosts.value()[1].address_.port_);
}

TEST(host_list, changes_show_after_the_lag)
{
    auto reader = list();
    fake_.set_faults({.lag_ = 5s});
    fake_.set_hosts({make_host("h1", host_state::live)});
    CHECK_EQUAL(0, reader.read().value().size());
    clock_.advance(5s);
    CHECK_EQUAL(1, reader.read().value().size());
}

TEST(host_list, faults_are_told_apart)
{
    struct fault_case
    {
        fakes::host_list_faults faults_;
        error_code code_;
    };
    fault_case const cases[] = {
        {{.down_ = true}, error_code::unavailable},
        {{.garbled_ = true}, error_code::corrupt},
    };
    for (auto const& fault : cases)
    {
        auto reader = list();
        fake_.set_faults(fault.faults_);
        auto const hosts = reader.read();
        CHECK(!hosts && hosts.error().code_ == fault.code_);
    }
    fake_.stop();
    auto reader = list();
    CHECK(reader.read().error().code_ == error_code::unavailable);
}
