#pragma once

#include "src/base/clock.hpp"
#include "src/request/request_record.hpp"

#include <tbb/concurrent_hash_map.h>

#include <deque>
#include <mutex>
#include <string>

namespace tanagerlead::request
{

/// How much a daemon remembers of requests that have ended.
struct memory_limits
{
    std::size_t most_ended_ = 20'000;
    std::size_t most_ended_bytes_ = std::size_t{64} << 20U;
    base::duration keep_ended_ = std::chrono::minutes{10};
};

/// The requests of this daemon by id, and by workspace and idempotency key.
/// Running requests stay; ended ones are kept within limits, oldest forgotten
/// first. Any thread.
class request_table
{
public:
    request_table(memory_limits const& limits, base::clock const& clock);

    /// Adds `wanted`. When another record holds its key, and `replaces` does
    /// not allow that one to be replaced, that one is returned and nothing is
    /// added.
    record_ptr
    add_or_join(record_ptr const& wanted,
                std::function<bool(request_record const&)> const& replaces);

    /// Null when unknown, forgotten, or of another workspace.
    record_ptr find(base::request_id id,
                    base::workspace_id const& workspace) const;
    /// Null when no record holds the key.
    record_ptr find_key(base::workspace_id const& workspace,
                        std::string const& key) const;

    /// `ended` has its final answer: it is kept from now on within the limits.
    void remember(record_ptr const& ended);

    std::size_t size() const { return by_id_.size(); }

private:
    struct ended_entry
    {
        record_ptr record_;
        base::time_point when_;
        std::size_t bytes_ = 0;
    };

    struct key_compare
    {
        static std::size_t hash(std::string const& key);
        static bool equal(std::string const& a, std::string const& b);
    };

    struct id_compare
    {
        static std::size_t hash(base::request_id const& id);
        static bool equal(base::request_id const& a, base::request_id const& b);
    };

    using id_map =
        tbb::concurrent_hash_map<base::request_id, record_ptr, id_compare>;
    using key_map =
        tbb::concurrent_hash_map<std::string, record_ptr, key_compare>;

    void forget(record_ptr const& record);
    bool over_limit(base::time_point now) const;

    memory_limits const limits_;
    base::clock const& clock_;
    id_map by_id_;
    key_map by_key_;

    std::mutex ended_mutex_;
    std::deque<ended_entry> ended_;
    std::size_t ended_bytes_ = 0;
};

} // namespace tanagerlead::request
