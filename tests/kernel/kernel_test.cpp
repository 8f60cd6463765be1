#include "src/kernel/control_thread.hpp"
#include "src/kernel/kernel.hpp"

#include <CppUTest/TestHarness.h>

#include <future>
#include <string>

using namespace tanagerlead;

namespace
{

class recorder final : public kernel::service
{
public:
    recorder(std::string& journal, char name, bool fails = false)
        : journal_{journal}, name_{name}, fails_{fails}
    {
    }

    base::result<void> start(kernel::kernel& /*services*/) override
    {
        if (fails_)
        {
            return base::fail(base::error_code::internal, "start", {}, "told");
        }
        journal_ += name_;
        return base::success();
    }

    void stop() override
    {
        journal_ += '-';
        journal_ += name_;
    }

private:
    std::string& journal_;
    char name_;
    bool fails_;
};

} // namespace

TEST_GROUP(kernel){};

TEST(kernel, stops_in_reverse_order)
{
    std::string journal;
    kernel::kernel services;
    services.add("a", std::make_unique<recorder>(journal, 'a'));
    services.add("b", std::make_unique<recorder>(journal, 'b'));
    CHECK(services.start().has_value());
    services.stop();
    STRCMP_EQUAL("ab-b-a", journal.c_str());
}

TEST(kernel, failed_start_stops_what_had_started)
{
    std::string journal;
    kernel::kernel services;
    services.add("a", std::make_unique<recorder>(journal, 'a'));
    services.add("b", std::make_unique<recorder>(journal, 'b', true));
    CHECK_FALSE(services.start().has_value());
    STRCMP_EQUAL("a-a", journal.c_str());
}

TEST_GROUP(control_thread)
{
    base::steady_clock clock_;
    kernel::kernel services_;
    kernel::control_thread control_{clock_};
};

TEST(control_thread, runs_tasks_in_order)
{
    CHECK(control_.start(services_).has_value());
    std::string journal;
    control_.post([&] { journal += '1'; });
    control_.post([&] { journal += '2'; });
    CHECK(control_.run([&] { journal += '3'; }));
    STRCMP_EQUAL("123", journal.c_str());
    control_.stop();
}

TEST(control_thread, timers_fire_in_order_of_time)
{
    CHECK(control_.start(services_).has_value());
    std::string journal;
    std::promise<void> done;
    auto const now = control_.now();
    control_.post_at(now + std::chrono::milliseconds{2},
                     [&]
                     {
                         journal += 'b';
                         done.set_value();
                     });
    control_.post_at(now + std::chrono::milliseconds{1},
                     [&] { journal += 'a'; });
    done.get_future().wait();
    STRCMP_EQUAL("ab", journal.c_str());
    control_.stop();
}

TEST(control_thread, run_after_stop_says_so)
{
    CHECK(control_.start(services_).has_value());
    control_.stop();
    CHECK_FALSE(control_.run([] {}));
}
