#pragma once

#include "src/base/error.hpp"
#include "src/base/units.hpp"
#include "src/routing/store_revision.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace tanagerlead::entry
{

using routing::store_era;
using routing::store_revision;

enum class store_lease : std::uint64_t
{
};

/// The item is written without a lease and stays until it is removed.
inline constexpr store_lease no_store_lease{0};

/// Revision of an item that does not exist.
inline constexpr store_revision no_store_revision{0};

/// Era of an answer that names none.
inline constexpr store_era unknown_store_era{0};

struct store_item
{
    std::string key_;
    /// Value as written; empty for a removed key.
    std::string value_;
    store_revision revision_{};
    bool removed_ = false;
};

/// Items in the order of their keys. The pages of a listing do not form a
/// snapshot.
struct store_page
{
    std::vector<store_item> items_;
    bool has_more_ = false;
    /// Changes after this revision may be missing from the page.
    store_revision revision_{};
};

struct store_changes
{
    std::vector<store_item> items_;
    /// Start of the next watch.
    store_revision revision_{};
};

/// Client of the persistent metadata store. Callbacks run on the loop of their
/// call. Errors: `unavailable` and `not_sent` (nothing was done),
/// `unknown_effect`, `rate_limited`, `not_found` (no such lease, or the history
/// was compacted), `corrupt`. Revisions and leases hold for one era of the
/// store only.
class metadata_store
{
public:
    template <class T>
    using result_callback = std::function<void(base::result<T>)>;

    /// Receives the era of an answer; false if the answer is outdated.
    using era_callback = std::function<bool(store_era)>;

    /// Called when a part of an answer has arrived that is not complete yet.
    using progress_callback = std::function<void()>;

    virtual ~metadata_store() = default;

    /// Calls `observe` with the era of each answer, also of a failed call,
    /// before the callback of the call. An outdated answer is passed on as the
    /// error `unavailable`.
    virtual void set_era_observer(era_callback observe) = 0;

    /// Lists the items after the key `after`. With `may_be_stale`, results may
    /// lag by seconds, but the read is cheaper.
    virtual void list(std::string const& prefix, std::string const& after,
                      bool may_be_stale, result_callback<store_page> done,
                      progress_callback progress) = 0;
    /// Passes the changes after the revision `after` to `done`; waits up to
    /// `wait` for them.
    virtual void watch(std::string const& prefix, store_revision after,
                       base::duration wait, result_callback<store_changes> done,
                       progress_callback progress) = 0;
    /// Reads one item as it is now. `not_found`: there is none.
    virtual void read(std::string const& key,
                      result_callback<store_item> done) = 0;
    virtual void grant_lease(base::duration ttl,
                             result_callback<store_lease> done) = 0;
    virtual void renew_lease(store_lease lease, result_callback<void> done) = 0;
    virtual void put(std::string const& key, std::string const& value,
                     store_lease lease, result_callback<void> done) = 0;
    /// Writes the item only if its revision is `expected`, or, if that is
    /// `no_store_revision`, only if there is none. Passes the new revision.
    /// `conflict`: the item has another revision. After `unknown_effect` only a
    /// reading tells whether it was written.
    virtual void compare_and_swap(std::string const& key,
                                  store_revision expected,
                                  std::string const& value, store_lease lease,
                                  result_callback<store_revision> done) = 0;
    virtual void remove(std::string const& key, result_callback<void> done) = 0;
};

} // namespace tanagerlead::entry
