#pragma once

#include "src/base/clock.hpp"
#include "src/kernel/service.hpp"

#include <tbb/concurrent_queue.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace tanagerlead::kernel
{

/// The one thread that owns control state. Everything else posts to it.
class control_thread final : public service
{
public:
    using task = std::function<void()>;

    static constexpr char const* service_name = "control";

    explicit control_thread(base::clock const& clock) : clock_{clock} {}

    base::result<void> start(kernel& services) override;
    void stop() override;

    /// Runs `work` on the control thread, in order of posting.
    /// Any thread. Tasks posted after `stop` are dropped.
    void post(task work);

    /// Runs `work` on the control thread at `when` or soon after.
    /// Any thread.
    void post_at(base::time_point when, task work);

    /// Runs `work` on the control thread and waits for it. Any other thread;
    /// false when the control thread has stopped and `work` did not run.
    bool run(task work);

    base::time_point now() const { return clock_.now(); }
    /// Processor time spent by the control thread so far.
    base::duration processor_time() const;

private:
    void loop();
    void run_due_timers();
    void wait_for_work();
    void wake();

    base::clock const& clock_;
    tbb::concurrent_queue<task> inbox_;
    /// Owned by the loop.
    std::multimap<base::time_point, task> timers_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool signalled_ = false;
    std::atomic<bool> stopping_{false};
    std::atomic<base::duration::rep> processor_time_{0};
    std::thread thread_;
};

} // namespace tanagerlead::kernel
