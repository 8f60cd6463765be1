#include "src/routing/entry_readings.hpp"

namespace tanagerlead::routing
{

bool entry_readings::start(base::target_id const& target,
                           base::time_point connected_at, base::time_point now)
{
    std::erase_if(sent_, [now](auto const& reading)
                  { return now - reading.second >= timeout; });
    auto const [last, is_new] = sent_.emplace(target, now);
    auto const is_covered =
        last->second >= connected_at || now - last->second < min_interval;
    if (!is_new && is_covered)
    {
        return false;
    }
    last->second = now;
    ++count_;
    return true;
}

} // namespace tanagerlead::routing
