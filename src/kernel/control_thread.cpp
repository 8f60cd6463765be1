#include "src/kernel/control_thread.hpp"

#include <ctime>
#include <future>

namespace tanagerlead::kernel
{

namespace
{
base::duration thread_processor_time()
{
    timespec spent{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return std::chrono::seconds{spent.tv_sec} +
           std::chrono::nanoseconds{spent.tv_nsec};
}
} // namespace

base::result<void> control_thread::start(kernel& /*services*/)
{
    thread_ = std::thread{[this]
                          {
                              loop();
                          }};
    return base::success();
}

void control_thread::stop()
{
    stopping_ = true;
    wake();
    thread_.join();
    // Destroying a dropped task breaks the promise of whoever waits for it.
    task dropped;
    while (inbox_.try_pop(dropped))
    {
    }
    timers_.clear();
}

void control_thread::post(task work)
{
    inbox_.push(std::move(work));
    wake();
}

void control_thread::post_at(base::time_point when, task work)
{
    post([this, when, work = std::move(work)]() mutable
         { timers_.emplace(when, std::move(work)); });
}

bool control_thread::run(task work)
{
    auto done = std::make_shared<std::promise<void>>();
    auto finished = done->get_future();
    post(
        [work = std::move(work), done = std::move(done)]
        {
            work();
            done->set_value();
        });
    // A stopped thread never empties its inbox, so look again now and then.
    constexpr auto recheck = std::chrono::milliseconds{50};
    while (finished.wait_for(recheck) != std::future_status::ready)
    {
        if (stopping_ && !thread_.joinable())
        {
            return false;
        }
    }
    try
    {
        finished.get();
    }
    catch (std::future_error const&)
    {
        return false;
    }
    return true;
}

base::duration control_thread::processor_time() const
{
    return base::duration{processor_time_.load()};
}

void control_thread::loop()
{
    while (!stopping_)
    {
        task work;
        while (!stopping_ && inbox_.try_pop(work))
        {
            work();
        }
        run_due_timers();
        processor_time_ = thread_processor_time().count();
        wait_for_work();
    }
}

void control_thread::run_due_timers()
{
    auto const now = clock_.now();
    while (!timers_.empty() && timers_.begin()->first <= now)
    {
        auto due = timers_.extract(timers_.begin());
        due.mapped()();
    }
}

void control_thread::wait_for_work()
{
    std::unique_lock lock{mutex_};
    auto const ready = [this]
    {
        return signalled_;
    };
    if (timers_.empty())
    {
        changed_.wait(lock, ready);
    }
    else
    {
        changed_.wait_for(lock, timers_.begin()->first - clock_.now(), ready);
    }
    signalled_ = false;
}

void control_thread::wake()
{
    {
        std::lock_guard const lock{mutex_};
        signalled_ = true;
    }
    changed_.notify_one();
}

} // namespace tanagerlead::kernel
