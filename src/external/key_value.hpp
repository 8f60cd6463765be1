#pragma once

#include "src/base/error.hpp"
#include "src/base/units.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Interfaces to what the platform gives, and their adapters.
namespace tanagerlead::external
{

struct key_value_entry
{
    std::string key_;
    std::string value_;
    /// Store revision of the last change; 0 means absent.
    std::int64_t revision_ = 0;
};

/// One write of an atomic group: put when `value_` is set, delete otherwise.
struct key_value_write
{
    std::string key_;
    std::optional<std::string> value_;
    /// Revision the key must have; 0 means it must be absent; no value means
    /// any.
    std::optional<std::int64_t> expected_revision_;
};

enum class commit_outcome
{
    committed,
    /// A key had another revision; nothing was written.
    conflict,
};

/// Ends the watch when destroyed.
class key_value_watch
{
public:
    virtual ~key_value_watch() = default;
};

/// The platform's key-value service. Blocking; any thread.
/// Errors: `not_sent` (no effect), `unknown_effect` (a write may have taken
/// effect), `unavailable`, `rate_limited`.
class key_value_store
{
public:
    virtual ~key_value_store() = default;

    /// Linearizable read; revision 0 when absent.
    virtual base::result<key_value_entry> get(std::string const& key) = 0;
    virtual base::result<std::vector<key_value_entry>>
    list(std::string const& prefix) = 0;
    /// All writes or none.
    virtual base::result<commit_outcome>
    commit(std::vector<key_value_write> const& writes) = 0;

    /// Calls `changed` from a thread of its own with each later value of
    /// `key`, and once after each reconnection. Null when `changed` would
    /// never be called.
    virtual std::unique_ptr<key_value_watch>
    watch(std::string const& key,
          std::function<void(key_value_entry const&)> changed) = 0;
};

} // namespace tanagerlead::external
