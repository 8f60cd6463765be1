#pragma once

#include "src/base/units.hpp"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace tanagerlead::cell
{

/// At most one due time for each key.
template <class Key>
class timer_queue
{
public:
    void set(Key const& key, base::time_point when)
    {
        clear(key);
        due_.emplace(when, key);
        times_.emplace(key, when);
    }

    void clear(Key const& key)
    {
        auto const found = times_.find(key);
        if (found != times_.end())
        {
            due_.erase({found->second, key});
            times_.erase(found);
        }
    }

    /// Removes and returns one key that is due.
    std::optional<Key> pop(base::time_point now)
    {
        if (due_.empty() || due_.begin()->first > now)
        {
            return std::nullopt;
        }
        auto key = due_.begin()->second;
        clear(key);
        return key;
    }

    /// `max()` when there is none.
    base::time_point next() const
    {
        return due_.empty() ? base::time_point::max() : due_.begin()->first;
    }

private:
    std::set<std::pair<base::time_point, Key>> due_;
    std::map<Key, base::time_point> times_;
};

} // namespace tanagerlead::cell
