#include "src/http/worker_pool.hpp"

namespace tanagerlead::http
{

worker_pool::worker_pool(std::size_t most_threads) : most_threads_{most_threads}
{
}

worker_pool::~worker_pool()
{
    stop();
}

void worker_pool::post(task work)
{
    std::lock_guard const lock{mutex_};
    if (stopping_)
    {
        return;
    }
    tasks_.push_back(std::move(work));
    if (tasks_.size() > idle_ && threads_.size() < most_threads_)
    {
        threads_.emplace_back([this] { loop(); });
    }
    changed_.notify_one();
}

void worker_pool::stop()
{
    std::vector<std::thread> threads;
    {
        std::lock_guard const lock{mutex_};
        stopping_ = true;
        threads.swap(threads_);
        changed_.notify_all();
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
}

void worker_pool::loop()
{
    std::unique_lock lock{mutex_};
    while (true)
    {
        ++idle_;
        changed_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
        --idle_;
        if (tasks_.empty())
        {
            return;
        }
        auto const work = std::move(tasks_.front());
        tasks_.pop_front();
        lock.unlock();
        work();
        lock.lock();
    }
}

} // namespace tanagerlead::http
