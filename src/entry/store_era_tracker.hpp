#pragma once

#include "src/entry/metadata_store.hpp"

namespace tanagerlead::entry
{

/// Detects that the store was restored from an older copy. The store then
/// enters a new era: it has lost its latest writes and leases, and hands out
/// their revisions and lease ids again. Answers arrive on several connections,
/// so one of an earlier era may follow one of a later era.
class store_era_tracker
{
public:
    using new_era_callback = std::function<void(store_era fresh)>;

    explicit store_era_tracker(new_era_callback on_new_era)
        : on_new_era_{std::move(on_new_era)}
    {
    }

    /// Called with the era of each answer, before anything else in it is used.
    /// `unknown_store_era` passes. False for an answer of an earlier era, which
    /// must not be used.
    bool observe(store_era era);
    store_era current() const { return current_; }

private:
    new_era_callback on_new_era_;
    store_era current_ = unknown_store_era;
};

} // namespace tanagerlead::entry
