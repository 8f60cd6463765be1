#pragma once

#include "src/external/key_value.hpp"

#include <functional>
#include <string>
#include <utility>

namespace tanagerlead::fakes
{

/// Passes everything on, and runs a hook once before a commit that writes a
/// key with the given end.
class hooked_store final : public external::key_value_store
{
public:
    hooked_store(external::key_value_store& inner, std::string key_end)
        : inner_{inner}, key_end_{std::move(key_end)}
    {
    }

    std::function<void()> before_commit_;

    base::result<external::key_value_entry> get(std::string const& key) override
    {
        return inner_.get(key);
    }

    base::result<std::vector<external::key_value_entry>>
    list(std::string const& prefix) override
    {
        return inner_.list(prefix);
    }

    base::result<external::commit_outcome>
    commit(std::vector<external::key_value_write> const& writes) override
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

    std::unique_ptr<external::key_value_watch> watch(
        std::string const& key,
        std::function<void(external::key_value_entry const&)> changed) override
    {
        return inner_.watch(key, std::move(changed));
    }

private:
    external::key_value_store& inner_;
    std::string key_end_;
};

} // namespace tanagerlead::fakes
