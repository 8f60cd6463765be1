#pragma once

#include "src/kernel/service.hpp"

#include <cassert>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerlead::kernel
{

/// Owns the services of a daemon, starts and stops them, finds them by name.
/// Not thread-safe: used by the thread that runs the daemon.
class kernel
{
public:
    kernel() = default;
    kernel(kernel const&) = delete;
    kernel& operator=(kernel const&) = delete;
    ~kernel();

    /// Names are unique.
    void add(std::string name, std::unique_ptr<service> part);

    /// The first failure stops what had been started and is returned.
    base::result<void> start();
    void stop();

    /// The service must exist and be of that type.
    template <class Service>
    Service& find(std::string_view name)
    {
        auto* found = dynamic_cast<Service*>(find_service(name));
        assert(found != nullptr);
        return *found;
    }

private:
    struct entry
    {
        std::string name_;
        std::unique_ptr<service> part_;
    };

    service* find_service(std::string_view name);

    std::vector<entry> entries_;
    std::size_t started_ = 0;
};

} // namespace tanagerlead::kernel
