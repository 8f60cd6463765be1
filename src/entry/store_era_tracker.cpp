#include "src/entry/store_era_tracker.hpp"

namespace tanagerlead::entry
{

bool store_era_tracker::observe(store_era era)
{
    if (era == unknown_store_era || era == current_)
    {
        return true;
    }
    if (era < current_)
    {
        return false;
    }
    auto const is_first = current_ == unknown_store_era;
    current_ = era;
    if (!is_first)
    {
        on_new_era_(era);
    }
    return true;
}

} // namespace tanagerlead::entry
