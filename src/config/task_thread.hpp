#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace tanagerlead::config
{

/// Runs blocking tasks one after the other, off the control thread.
class task_thread
{
public:
    using task = std::function<void()>;

    task_thread() = default;
    ~task_thread() { stop(); }
    task_thread(task_thread const&) = delete;
    task_thread& operator=(task_thread const&) = delete;

    void start();
    /// Waits for the running task; the others are dropped.
    void stop();
    void post(task work);

private:
    void loop();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<task> tasks_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace tanagerlead::config
