#pragma once

#include "src/net/http_listener.hpp"

#include <nlohmann/json.hpp>

#include <list>
#include <map>

/// Stand-ins of the third review; see review/REPORT-3.md.
namespace tanagerlead::review
{

/// The platform's store, without faults: items, leases, pages and watches.
class store
{
public:
    explicit store(net::asio::io_context& loop);

    base::address address() const { return listener_.local_address(); }
    void put(std::string const& key, std::string const& value,
             std::uint64_t lease = 0);

private:
    using connection_ptr = std::shared_ptr<net::caller_connection>;

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
        nlohmann::json event_;
    };
    struct lease
    {
        base::time_point until_{};
        base::duration time_{};
    };
    struct waiting_watch
    {
        connection_ptr to_;
        std::string prefix_;
        std::uint64_t after_ = 0;
        base::time_point until_{};
    };

    static void send(connection_ptr const& to, int status,
                     nlohmann::json const& body);
    static nlohmann::json shown(std::string const& key, item const& held);
    void on_request(connection_ptr const& from, net::http_request const& in);
    void answer_key(connection_ptr const& to, std::string const& target) const;
    void answer_range(connection_ptr const& to,
                      std::string const& target) const;
    void transact(connection_ptr const& to, std::string const& body);
    void grant(connection_ptr const& to, std::string const& body);
    void renew(connection_ptr const& to, std::uint64_t id);
    void remove(std::string const& key);
    void end_lease(std::uint64_t id);
    void notify_watches();
    void on_timer();

    net::http_listener listener_;
    net::deadline_timer timer_;
    std::map<std::string, item> items_;
    std::map<std::uint64_t, lease> leases_;
    std::vector<change> history_;
    std::list<waiting_watch> watches_;
    std::uint64_t revision_ = 1;
    std::uint64_t next_lease_ = 1;
};

} // namespace tanagerlead::review
