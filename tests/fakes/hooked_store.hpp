#pragma once

#include "src/platform/key_value.hpp"

#include <functional>
#include <string>
#include <utility>

namespace tanagerlead::fakes
{

/// Passes everything on, and runs a hook once before a commit that writes a
/// key with the given end.
class hooked_store final : public platform::key_value_store
{
public:
    hooked_store(platform::key_value_store& inner, std::string key_end)
        : inner_{inner}, key_end_{std::move(key_end)}
    {
    }

    std::function<void()> before_commit_;

    base::result<platform::key_value_entry> get(std::string const& key) override
    {
        return inner_.get(key);
    }

    base::result<std::vector<platform::key_value_entry>>
    list(std::string const& prefix) override
    {
        return inner_.list(prefix);
    }

    base::result<platform::commit_outcome>
    commit(std::vector<platform::key_value_write> const& writes) override
    {
        for (auto const& write : writes)
        {
            if (before_commit_ && write.key_.ends_with(key_end_))
            {
                std::exchange(before_commit_, nullptr)();
            }
        }
        return inner_.commit(writes);
    }

    std::unique_ptr<platform::key_value_watch> watch(
        std::string const& key,
        std::function<void(platform::key_value_entry const&)> changed) override
    {
        return inner_.watch(key, std::move(changed));
    }

private:
    platform::key_value_store& inner_;
    std::string key_end_;
};

} // namespace tanagerlead::fakes
