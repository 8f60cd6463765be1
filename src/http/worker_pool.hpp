#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace tanagerlead::http
{

/// Threads for blocking work; grows as needed up to a limit, then work waits.
/// Any thread.
class worker_pool
{
public:
    using task = std::function<void()>;

    explicit worker_pool(std::size_t most_threads);
    ~worker_pool();

    /// Never blocks. Dropped after `stop`.
    void post(task work);
    /// Runs what was posted and ends the threads.
    void stop();

private:
    void loop();

    std::size_t const most_threads_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<task> tasks_;
    std::vector<std::thread> threads_;
    std::size_t idle_ = 0;
    bool stopping_ = false;
};

} // namespace tanagerlead::http
