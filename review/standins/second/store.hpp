#pragma once

#include "server.hpp"

#include <condition_variable>

namespace tanagerlead::review
{

/// The platform's metadata store, as PROTOCOL.md describes it. It is sound: it
/// answers at once and forgets nothing.
class store
{
public:
    explicit store(address const& at);

    bool start() { return server_.start(); }
    /// Writes of the operator and of runners.
    void put(std::string const& key, std::string const& value);
    void remove(std::string const& key);

private:
    struct item
    {
        std::string value_;
        std::uint64_t revision_ = 0;
        std::uint64_t created_ = 0;
        std::uint64_t lease_ = 0;
    };

    struct change
    {
        std::uint64_t revision_ = 0;
        std::string key_;
        bool is_removal_ = false;
    };

    struct lease
    {
        milliseconds ttl_{};
        steady::time_point ends_;
    };

    bool answer(connection& from, request const& asked);
    response list(request const& asked);
    response watch(request const& asked);
    response read(request const& asked);
    response transact(request const& asked);
    response grant(request const& asked);
    response keep(request const& asked);
    response end_lease(request const& asked);
    std::string item_text(std::string const& key, item const& it) const;
    std::string changes_text(std::string const& prefix,
                             std::uint64_t after) const;
    void put_locked(std::string const& key, std::string value,
                    std::uint64_t lease_id);
    void remove_locked(std::string const& key);
    void expire_locked();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<change> history_;
    std::map<std::uint64_t, lease> leases_;
    std::uint64_t revision_ = 100;
    std::uint64_t last_lease_ = 7000;
    server server_;
};

} // namespace tanagerlead::review
