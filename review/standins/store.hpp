#pragma once

#include "wire.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <list>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace review
{

/// A stand-in for the platform's store, with the runners' entries.
class store
{
public:
    explicit store(std::string const& ip);
    ~store();
    store(store const&) = delete;
    store& operator=(store const&) = delete;

    address const& where() const { return at_; }
    /// The operator writes.
    void put(std::string const& key, std::string const& value);
    /// Runners that the store hears, or not.
    void cut_runner(std::string const& id, bool is_cut);

private:
    struct item
    {
        std::string value_;
        std::uint64_t revision_ = 0;
        std::uint64_t created_ = 0;
        std::uint64_t lease_ = 0;
    };
    struct event
    {
        std::uint64_t revision_ = 0;
        std::string key_;
        std::string value_;
        bool is_removal_ = false;
    };
    struct answer
    {
        int status_ = 200;
        nlohmann::json body_ = nlohmann::json::object();
    };

    void accept_all();
    void serve(connection& with);
    answer handle(message const& request);
    answer read(std::string const& target);
    answer range(std::string const& target);
    answer watch(std::string const& target);
    answer transact(std::string const& body);
    answer grant(std::string const& body);
    answer renew(std::string const& path);
    answer beat(std::string const& target, std::string const& body);
    nlohmann::json to_json(std::string const& key, item const& held) const;
    void write(std::string const& key, std::string const& value,
               std::uint64_t lease);
    void remove(std::string const& key);
    void expire_all();

    address at_;
    int listener_;
    std::mutex lock_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<event> history_;
    std::uint64_t revision_ = 1;
    std::map<std::uint64_t, std::pair<milliseconds, steady::time_point>>
        leases_;
    std::uint64_t next_lease_ = 1;
    /// When the entries of runners lapse.
    std::map<std::string, steady::time_point> lapses_;
    std::set<std::string> cut_;
    std::atomic<bool> is_ended_{false};
    std::thread accepting_;
    std::thread expiring_;
};

} // namespace review
