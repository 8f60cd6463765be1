#pragma once

#include <cassert>
#include <cstddef>

namespace tanagerlead::entry
{

/// Bytes that several users may hold together.
class byte_budget
{
public:
    explicit byte_budget(std::size_t max_bytes) : max_bytes_{max_bytes} {}

    /// False if that would exceed the budget; nothing is taken then.
    bool take(std::size_t bytes)
    {
        if (bytes > max_bytes_ - used_)
        {
            return false;
        }
        used_ += bytes;
        return true;
    }

    void give_back(std::size_t bytes)
    {
        assert(bytes <= used_);
        used_ -= bytes;
    }

    std::size_t used() const { return used_; }

private:
    std::size_t max_bytes_;
    std::size_t used_ = 0;
};

} // namespace tanagerlead::entry
