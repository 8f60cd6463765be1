#include "src/kernel/kernel.hpp"

namespace tanagerlead::kernel
{

kernel::~kernel()
{
    stop();
}

void kernel::add(std::string name, std::unique_ptr<service> part)
{
    assert(find_service(name) == nullptr);
    entries_.push_back({std::move(name), std::move(part)});
}

base::result<void> kernel::start()
{
    for (auto& candidate : entries_)
    {
        auto started = candidate.part_->start(*this);
        if (!started)
        {
            stop();
            return started;
        }
        ++started_;
    }
    return base::success();
}

void kernel::stop()
{
    while (started_ > 0)
    {
        --started_;
        entries_[started_].part_->stop();
    }
}

service* kernel::find_service(std::string_view name)
{
    for (auto& candidate : entries_)
    {
        if (candidate.name_ == name)
        {
            return candidate.part_.get();
        }
    }
    return nullptr;
}

} // namespace tanagerlead::kernel
