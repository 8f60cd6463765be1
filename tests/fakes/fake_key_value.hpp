#pragma once

#include "src/base/address.hpp"
#include "src/base/clock.hpp"
#include "tests/fakes/blocking_server.hpp"
#include "tests/fakes/key_value_state.hpp"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>

namespace httplib
{
class DataSink;
class Response;
} // namespace httplib

namespace tanagerlead::fakes
{

enum class outage
{
    none,
    /// Connections are refused.
    refuse,
    /// Connections are taken, and nothing is answered.
    hang,
    /// Every call is answered with status 503.
    unavailable,
};

struct key_value_faults
{
    outage outage_ = outage::none;
    base::duration slowness_{};
    /// So many of the next writes are applied and their connections dropped.
    int lose_answers_ = 0;
    /// 0: no limit. A write over the limit is answered with status 429.
    int writes_per_second_ = 0;
};

/// What has been asked of the fake so far.
struct key_value_log
{
    int reads_ = 0;
    int writes_ = 0;
    int conflicts_ = 0;
    int watches_ = 0;
    int leases_ = 0;
    int rate_limited_ = 0;
    int lost_answers_ = 0;
    std::int64_t bytes_written_ = 0;
};

/// The JSON gateway of etcd v3 over HTTP, with faults to order. Faults are
/// also set by `POST /fake/faults` and counts read by `GET /fake/log`, on the
/// control address too, which an outage leaves alone.
class fake_key_value
{
public:
    fake_key_value(base::address listen, base::clock const& clock);
    ~fake_key_value();

    base::result<void> start();
    void stop();
    base::address local_address() const { return address_; }
    base::address control_address() const;

    void set_faults(key_value_faults const& faults);
    key_value_faults faults();
    key_value_log log();
    /// Cuts the watches that are held now.
    void drop_watches();
    /// Watches that are held now.
    int held_watches();
    /// Waits until so many watches are held.
    void wait_for_watches(int count);
    /// Number of keys that begin with `prefix`.
    int keys_under(std::string const& prefix);

private:
    struct admission;
    class reservation;

    base::result<void> listen();
    void add_routes(blocking_server& to);
    void add_control_routes(blocking_server& to);
    admission admit(bool is_write);
    void serve_range(std::string const& body, httplib::Response& out);
    void serve_transaction(std::string const& body, httplib::Response& out);
    void serve_lease(std::string const& verb, std::string const& body,
                     httplib::Response& out);
    void serve_watch(std::string const& body, httplib::Response& out);
    bool feed_watch(std::string const& key, std::int64_t& next, int generation,
                    httplib::DataSink& sink);
    void answer_faults(std::string const& body, httplib::Response& out);
    bool take_write_token();

    base::address address_;
    base::clock const& clock_;
    std::unique_ptr<reservation> reservation_;
    std::unique_ptr<blocking_server> server_;
    std::unique_ptr<blocking_server> control_;
    /// Held while the listener is closed or opened.
    std::mutex listener_mutex_;

    std::mutex mutex_;
    std::condition_variable changed_;
    key_value_state state_;
    key_value_faults faults_;
    key_value_log log_;
    double write_tokens_ = 0;
    base::time_point tokens_filled_{};
    int watch_generation_ = 0;
    int held_watches_ = 0;
    bool stopping_ = false;
};

} // namespace tanagerlead::fakes
