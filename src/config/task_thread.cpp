#include "src/config/task_thread.hpp"

namespace tanagerlead::config
{

void task_thread::start()
{
    thread_ = std::thread{[this]
                          {
                              loop();
                          }};
}

void task_thread::stop()
{
    {
        std::lock_guard const lock{mutex_};
        stopping_ = true;
        tasks_.clear();
    }
    changed_.notify_one();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

void task_thread::post(task work)
{
    {
        std::lock_guard const lock{mutex_};
        if (stopping_)
        {
            return;
        }
        tasks_.push_back(std::move(work));
    }
    changed_.notify_one();
}

void task_thread::loop()
{
    std::unique_lock lock{mutex_};
    while (!stopping_)
    {
        if (tasks_.empty())
        {
            changed_.wait(lock);
            continue;
        }
        auto const work = std::move(tasks_.front());
        tasks_.pop_front();
        lock.unlock();
        work();
        lock.lock();
    }
}

} // namespace tanagerlead::config
