#pragma once

#include "src/base/units.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Stand-ins for outside systems.
namespace tanagerlead::fakes
{

struct stored_value
{
    std::string value_;
    std::int64_t create_revision_ = 0;
    std::int64_t mod_revision_ = 0;
    std::int64_t version_ = 0;
    std::int64_t lease_ = 0;
};

enum class compare_field
{
    mod_revision,
    create_revision,
    version,
    value,
};

struct comparison
{
    std::string key_;
    compare_field field_ = compare_field::mod_revision;
    std::int64_t number_ = 0;
    std::string value_;
};

/// Put when `value_` is set, delete otherwise.
struct operation
{
    std::string key_;
    std::optional<std::string> value_;
    std::int64_t lease_ = 0;
};

struct change
{
    std::int64_t revision_ = 0;
    std::string key_;
    /// Empty: the key was deleted.
    std::optional<stored_value> now_;
};

/// Keys, leases and the history of changes, as etcd has them. The caller
/// gives the time and holds a lock.
class key_value_state
{
public:
    using map = std::map<std::string, stored_value>;

    std::int64_t revision() const { return revision_; }
    map const& values() const { return values_; }
    /// Oldest first.
    std::vector<change> const& changes() const { return changes_; }

    /// True when every comparison held and the operations were applied.
    bool transact(std::vector<comparison> const& comparisons,
                  std::vector<operation> const& operations);

    std::int64_t grant(base::duration time_to_live, base::time_point now);
    /// False when the lease has lapsed.
    bool keep_alive(std::int64_t lease, base::time_point now);
    void revoke(std::int64_t lease);
    /// Deletes the keys of leases that have lapsed.
    void expire(base::time_point now);

private:
    struct lease
    {
        base::duration time_to_live_;
        base::time_point lapses_;
    };

    bool holds(comparison const& wanted) const;
    void apply(operation const& work);

    map values_;
    std::map<std::int64_t, lease> leases_;
    std::vector<change> changes_;
    std::int64_t revision_ = 1;
    std::int64_t next_lease_ = 1;
};

} // namespace tanagerlead::fakes
